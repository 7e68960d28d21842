"""Measurement of the scheduling policy in virtual time."""
