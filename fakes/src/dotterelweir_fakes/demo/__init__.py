"""Demo: a complete deployment as separate processes on one machine."""
