"""Placement, admission, queueing and limits."""
