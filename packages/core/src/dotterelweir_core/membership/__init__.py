"""Failure detection and dissemination between instances."""
