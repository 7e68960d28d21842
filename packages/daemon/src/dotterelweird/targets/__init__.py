"""Monitor of targets, and adapters to engines and plain services."""
