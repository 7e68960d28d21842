"""A gateway without one guard, to show that the soak's checks can fail.

``DOTTERELWEIR_SOAK_GUARD`` names the guard that is removed. The switch is
the harness's alone: the shipped programs do not know it.
"""

import os

from dotterelweir_core.gateway import tables
from dotterelweir_platform import __main__ as platform_main
from dotterelweird.gateway import attempts
from dotterelweird.gateway import exchange as exchanges

GUARD_VARIABLE = 'DOTTERELWEIR_SOAK_GUARD'


def _report_failures_as_not_run(classify):
    """Takes every failed answer for one that did not run."""

    def faulty_classify(status, facts, body):
        outcome = classify(status, facts, body)
        if isinstance(outcome, exchanges.Broken) or status >= 500:
            return exchanges.NotRun(503)
        return outcome

    return faulty_classify


def remove_guard(name: str) -> None:
    """Removes one guard.

    Raises:
        ValueError: There is no such guard.
    """
    match name:
        case 'not-run':
            attempts.classify = _report_failures_as_not_run(attempts.classify)
        case 'once':
            tables.Route.repeatable = property(lambda route: True)
            exchanges.Exchange.record_run = lambda exchange: None
        case _:
            raise ValueError(f'no guard {name!r}')


if __name__ == '__main__':
    remove_guard(os.environ.get(GUARD_VARIABLE, ''))
    platform_main.main()
