"""The commands of the daemon's binary."""
