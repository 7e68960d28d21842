"""Desired states of engines and their reconciliation by orders."""
