"""Runs the daemon as ``python -m dotterelweird``."""

from dotterelweird import main

main.main()
