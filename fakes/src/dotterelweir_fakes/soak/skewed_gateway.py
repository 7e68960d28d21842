"""Runs a gateway whose wall clock is off.

The variables are the harness's alone: the shipped programs do not know them.
"""

import os
import runpy
import time

SKEW_VARIABLE = 'DOTTERELWEIR_SOAK_SKEW_S'
MODULE_VARIABLE = 'DOTTERELWEIR_SOAK_MODULE'


def main() -> None:
    """Shifts the wall clock and runs the module."""
    skew_s = float(os.environ[SKEW_VARIABLE])
    unskewed_time = time.time
    time.time = lambda: unskewed_time() + skew_s
    runpy.run_module(os.environ[MODULE_VARIABLE], run_name='__main__')


if __name__ == '__main__':
    main()
