"""Command-line client of dotterelweir for operators."""
