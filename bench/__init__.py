"""Benchmarks of figstream; `make bench` runs them, the test suite does not."""
