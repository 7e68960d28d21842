"""The entry instance of dotterelweir."""
