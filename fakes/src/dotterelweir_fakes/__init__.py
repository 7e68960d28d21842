"""Stand-ins, load tool, demo and measurement; never shipped."""
