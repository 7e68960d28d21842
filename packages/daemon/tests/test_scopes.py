"""Tests of scopes that are interrupted with an error."""

import asyncio

import pytest

from dotterelweir_core import errors
from dotterelweir_core import timers
from dotterelweird import scopes

LATE = errors.DotterelweirError(errors.ErrorKind.REQUEST_TIMEOUT)
STOPPED = errors.DotterelweirError(errors.ErrorKind.SHUTTING_DOWN)


async def _run_blocked(timer, scope):
    with scope:
        with scopes.deadline(timer, 1.0, LATE):
            await asyncio.get_running_loop().create_future()


async def _start_blocked(timer, scope):
    task = asyncio.create_task(_run_blocked(timer, scope))
    await asyncio.sleep(0)
    return task


async def test_a_deadline_ends_its_block():
    """Guards against blocks that continue after their deadline."""
    timer = timers.VirtualTimerService()
    task = await _start_blocked(timer, scopes.Scope())
    timer.advance(1.0)
    with pytest.raises(errors.DotterelweirError) as caught:
        await task
    assert caught.value is LATE
    assert timer.next_due_s() is None


async def test_two_interruptions_at_once_give_one_error():
    """Guards against an interruption that is taken for a cancelled task."""
    timer = timers.VirtualTimerService()
    scope = scopes.Scope()
    task = await _start_blocked(timer, scope)
    timer.advance(1.0)
    scope.interrupt(STOPPED)
    with pytest.raises(errors.DotterelweirError) as caught:
        await task
    assert caught.value is STOPPED


async def test_cancellation_of_the_task_takes_precedence():
    """Guards against an answer that is written to a disconnected caller."""
    timer = timers.VirtualTimerService()
    scope = scopes.Scope()
    task = await _start_blocked(timer, scope)
    scope.interrupt(STOPPED)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task


async def test_an_interruption_after_the_end_has_no_effect():
    """Guards against a finished scope that cancels later code of the task."""
    with scopes.Scope() as scope:
        pass
    scope.interrupt(STOPPED)
    await asyncio.sleep(0)
