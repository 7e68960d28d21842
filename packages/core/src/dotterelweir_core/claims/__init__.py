"""Idempotency claims, folded from the claim streams."""
