"""Orders that bring engines to their desired state, under leases."""
