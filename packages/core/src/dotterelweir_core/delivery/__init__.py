"""Delivery of generated tokens to callers, once and in order."""
