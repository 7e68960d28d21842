"""Stand-in for the platform's log, instance list and weight store."""
