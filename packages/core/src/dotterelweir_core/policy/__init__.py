"""Scheduling policy: queueing, admission, placement and limits."""
