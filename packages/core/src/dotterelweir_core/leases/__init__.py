"""Leases with fencing numbers, folded from the control stream."""
