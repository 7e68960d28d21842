"""Stand-ins for the users' platform, for tests of the gateway."""
