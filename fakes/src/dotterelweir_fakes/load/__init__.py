"""Load tool: callers that verify what they receive."""
