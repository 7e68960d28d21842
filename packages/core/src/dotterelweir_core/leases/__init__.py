"""Leases with fencing tokens, replayed from the control stream."""
