"""Tests of the readiness of an instance."""

import pytest

from dotterelweir_core import errors
from dotterelweird import instance
from dotterelweird import lifecycle

NOT_READY = errors.ErrorKind.NOT_READY
SHUTTING_DOWN = errors.ErrorKind.SHUTTING_DOWN


@pytest.mark.parametrize(
    ('transitions', 'grace_over', 'refusal', 'unready'),
    [
        ((), False, NOT_READY, NOT_READY),
        (('mark_ready',), False, None, None),
        (('mark_ready', 'drain'), False, None, SHUTTING_DOWN),
        (('mark_ready', 'drain'), True, SHUTTING_DOWN, SHUTTING_DOWN),
        (('mark_ready', 'drain', 'stop'), True, SHUTTING_DOWN, SHUTTING_DOWN),
        (('drain', 'mark_ready'), True, SHUTTING_DOWN, SHUTTING_DOWN),
    ],
)
def test_readiness_ends_before_requests_are_refused(
    transitions, grace_over, refusal, unready
):
    """Guards against a ready answer until the process ends.

    The balancer then sends requests to a closed port, as happened during a
    rolling replacement.
    """
    cycle = lifecycle.Lifecycle()
    readiness = instance.Readiness(cycle)
    for name in transitions:
        getattr(cycle, name)()
    readiness.grace_over = grace_over
    assert readiness.refusal() is refusal
    assert readiness.unready() is unready


def test_an_instance_stopped_before_it_was_ready_accepts_no_request():
    """Guards against requests that are routed before the tables were read.

    The callers got the final answer "no route" for routes that exist.
    """
    cycle = lifecycle.Lifecycle()
    readiness = instance.Readiness(cycle)
    cycle.drain()
    assert readiness.refusal() is SHUTTING_DOWN
