"""Memory and connections that callers of the gateway may take."""
