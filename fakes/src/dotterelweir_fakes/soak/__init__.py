"""Randomized soak of gateway processes under faults from outside."""
