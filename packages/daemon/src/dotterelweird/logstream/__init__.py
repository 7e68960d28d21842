"""Reads from and appends to streams of the log."""
