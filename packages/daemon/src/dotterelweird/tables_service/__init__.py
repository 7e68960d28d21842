"""Keeps the tables of this instance up to date with the log."""
