"""Decides whether a target may be sent something now, and waits for it."""
