"""Decisions of the gateway: routes, targets, placement and budgets."""
