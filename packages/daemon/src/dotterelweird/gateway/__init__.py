"""The gateway: forwards requests to the targets of a platform."""
