"""HTTP gateway that forwards callers' requests to the platform's targets."""
