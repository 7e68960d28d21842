"""Rendering of the reference pages from the code."""
