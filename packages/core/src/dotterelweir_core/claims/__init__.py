"""Idempotency claims, computed from the records of claim streams."""
