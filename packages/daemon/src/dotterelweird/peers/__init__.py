"""Communication between instances."""
