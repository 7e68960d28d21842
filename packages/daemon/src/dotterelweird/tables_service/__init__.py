"""Keeps the tables of an instance up to date with the log."""
