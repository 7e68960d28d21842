"""Gossip protocol for membership and failure detection of instances."""
