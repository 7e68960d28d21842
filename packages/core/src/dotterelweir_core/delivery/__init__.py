"""Delivery of generated tokens to callers, exactly once and in order."""
