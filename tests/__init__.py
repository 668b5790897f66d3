"""Tests of figstream, run by pytest."""
