"""The operators' client of dotterelweir."""
