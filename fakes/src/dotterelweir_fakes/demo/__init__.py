"""A whole deployment as separate processes on one machine."""
