"""Claims of idempotency keys, recorded in the log."""
