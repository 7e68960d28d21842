"""Decision logic of the gateway: routing, admission, placement, budgets."""
