"""Load generator whose callers verify the answers."""
