"""Adapters to targets: engines and plain services."""
