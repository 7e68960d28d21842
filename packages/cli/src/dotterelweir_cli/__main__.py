"""Runs the client as ``python -m dotterelweir_cli``."""

from dotterelweir_cli import main

main.main()
