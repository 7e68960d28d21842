"""Adapters to the platform's log, instance list and weight store."""
