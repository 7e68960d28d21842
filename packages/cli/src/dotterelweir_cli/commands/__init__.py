"""The commands of the operators' client, one module each."""
