"""Stand-in for the platform: log, instance list and weight store."""
