"""Orders to engines under leases."""
