"""Settings of the daemon: model, loading and validation."""
