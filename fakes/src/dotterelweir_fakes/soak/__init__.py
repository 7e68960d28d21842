"""Randomised soak test of gateway processes under injected faults."""
