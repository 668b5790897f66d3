"""Runs the command line with `python -m figstream`."""

from figstream import main

main.main()
