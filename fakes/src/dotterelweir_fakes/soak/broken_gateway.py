"""A gateway without one guard, to show that the soak's checks can fail.

The environment variable ``DOTTERELWEIR_SOAK_GUARD`` names the guard that
is removed. Only this test program reads it; the shipped programs do not.
"""

import os

from dotterelweir_core.gateway import evacuations
from dotterelweir_core.gateway import tables
from dotterelweir_platform import command as platform_main
from dotterelweird.gateway import attempts
from dotterelweird.gateway import exchange as exchanges

GUARD_VARIABLE = 'DOTTERELWEIR_SOAK_GUARD'


def _report_failures_as_not_run(classify):
    """Makes every failed attempt count as a request that did not run."""

    def faulty_classify(status, facts, body):
        outcome = classify(status, facts, body)
        if isinstance(outcome, exchanges.Broken) or status >= 500:
            return exchanges.NotRun(503)
        return outcome

    return faulty_classify


def remove_guard(name: str) -> None:
    """Removes one guard from the gateway's modules.

    Args:
        name: ``not-run`` lets a request run again after any failed attempt;
            ``once`` lets requests that are not repeatable run again;
            ``evacuated`` lets evacuated zones get requests.

    Raises:
        ValueError: The name is unknown.
    """
    match name:
        case 'not-run':
            attempts.classify = _report_failures_as_not_run(attempts.classify)
        case 'once':
            tables.Route.repeatable = property(lambda route: True)
            exchanges.Exchange.record_run = lambda exchange: None
        case 'evacuated':
            registry = evacuations.EvacuationRegistry
            registry.zones = property(lambda registry: frozenset())
            registry.is_evacuated = lambda registry, zone: False
        case _:
            raise ValueError(f'unknown guard {name!r}')


if __name__ == '__main__':
    remove_guard(os.environ.get(GUARD_VARIABLE, ''))
    platform_main.main()
