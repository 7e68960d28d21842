"""Reference pages that are rendered from the code."""
