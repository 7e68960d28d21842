"""Desired state of targets and its reconciliation."""
