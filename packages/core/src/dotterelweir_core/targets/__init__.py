"""State of targets: identity, health, load and cached prefixes."""
