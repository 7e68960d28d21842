"""Simulations that measure the scheduling policy, in virtual time."""
