"""Entry point of ``python -m dotterelweir_cli``."""

from dotterelweir_cli import main

main.main()
