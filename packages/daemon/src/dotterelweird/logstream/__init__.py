"""Following and appending to streams of the log."""
