"""Commands, one module each; each has a click command named ``command``."""
