"""Status and log analysis of a whole deployment of gateways."""
