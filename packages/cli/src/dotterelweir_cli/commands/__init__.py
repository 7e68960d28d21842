"""Commands of the client, one module for each command or group."""
