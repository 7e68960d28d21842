"""A stand-in for a batching model engine."""
