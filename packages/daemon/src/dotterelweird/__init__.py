"""The daemon that runs one entry instance of dotterelweir."""
