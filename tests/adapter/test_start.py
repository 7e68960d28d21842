"""Tests of the start of a gateway process."""

import os
import signal
import subprocess
import sys

from dotterelweir_platform import command as program

EXIT_CODE_INVALID_SETTINGS = 3


def test_a_reload_signal_during_the_start_ends_no_process(tmp_path):
    """Guards against the default action of SIGHUP, which is to terminate."""
    settings = tmp_path / 'local.conf'
    os.mkfifo(settings)
    process = subprocess.Popen(
        [sys.executable, '-m', program.__package__],
        env={**os.environ, program.SETTINGS_VARIABLE: str(settings)},
        stderr=subprocess.DEVNULL,
    )
    # Opening the pipe waits until the process reads its settings.
    with settings.open('w') as pipe:
        process.send_signal(signal.SIGHUP)
        pipe.write('no setting')
    assert process.wait(timeout=10) == EXIT_CODE_INVALID_SETTINGS
