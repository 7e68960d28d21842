"""A deployment of gateways, seen as one."""
