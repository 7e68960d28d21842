"""Stand-ins of the users' platform, for tests of the gateway."""
