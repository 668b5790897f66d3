"""Benchmarks, run apart from the tests by `make bench`."""
