"""Runs a gateway with a skewed wall clock.

Only this test program reads its environment variables; the shipped programs
do not.
"""

import os
import runpy
import time

SKEW_VARIABLE = 'DOTTERELWEIR_SOAK_SKEW_S'
MODULE_VARIABLE = 'DOTTERELWEIR_SOAK_MODULE'


def main() -> None:
    """Shifts ``time.time`` by the skew and runs the module."""
    skew_s = float(os.environ[SKEW_VARIABLE])
    unskewed_time = time.time
    time.time = lambda: unskewed_time() + skew_s
    runpy.run_module(os.environ[MODULE_VARIABLE], run_name='__main__')


if __name__ == '__main__':
    main()
