"""Shares capacity between callers when there is too little of it."""
