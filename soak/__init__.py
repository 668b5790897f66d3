"""Randomized soak test of real daemons under injected outside faults."""
