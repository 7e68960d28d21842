"""The tables of routes and pools, folded from the configuration log."""
