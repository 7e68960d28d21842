"""Table of fault cases of calls that claim a key.

A case has the faults of each service target, a sequence of steps, the expected
result of each call in the order of sending, and the expected number of
executions. In every case the call of a key is executed at most once, and a
call that was reported as "not run" is never executed.

Steps, where X is the name of an instance:
    ``ab``, ``a:body``: instances a and b each send a call, with that body.
    ``.``: tasks run as far as possible without time passing.
    ``wN``: N seconds pass.
    ``done``, ``done-X``: all calls, or the last one of X, end.
    ``running``: a service executes a call.
    ``waiting-X``: a call waits for a target at X.
    ``gate``, ``open``: services block, and unblock, their calls.
    ``only-N``: calls are sent only to service N.
    ``hold-X``, ``free-X``: X assigns no target, and assigns targets again.
    ``add-X``, ``kill-X``, ``pause-X``, ``resume-X``: instance X is added,
        crashes, pauses or resumes.
    ``cut-X``, ``heal-X``: X loses, or regains, the connection to the log;
        faults that are set for its next appends are removed.
    ``cut-later-X``: appends of X after those with a set fault are dropped.
    ``down``, ``up``: the log is unavailable, or available again.
    ``lost-X-N``, ``late-X-N``, ``dropped-X-N``, ``limited-X-N``: the N-th
        next append of X has this fault; without N the next one.
    ``land``: late appends take effect.
"""

import asyncio

import pytest

from dotterelweir_core.tables import model as tables_model
from dotterelweird.callers import service_attempts
from dotterelweird.callers import service_calls

ROUTE = tables_model.Route(
    'book', tables_model.Match('/book'), 'shop', repeatable=False
)

OK = ('ok',)
REPLAYED = ('replayed',)
IN_PROGRESS = ('claim-in-progress', 'unknown')
LOG_UNAVAILABLE = ('claims-unavailable', 'not run')
CONNECTION_LOST = ('target-failed', 'unknown')
OUTCOME_UNAVAILABLE = ('claim-outcome-unavailable', 'unknown')
TARGET_UNREACHABLE = ('target-unreachable', 'not run')
TARGET_REFUSED = ('target-refused', 'not run')
MISMATCH = ('claim-mismatch', 'unknown')
CANCELLED = None

CASES = {
    'plain call': ([], 'a', [OK], 1),
    'repeat here': ([], 'a done w1 a', [OK, REPLAYED], 1),
    'repeat elsewhere': ([], 'a done w1 b', [OK, REPLAYED], 1),
    'two instances at once': ([], 'ab', [OK, IN_PROGRESS], 1),
    'twice at one instance': ([], 'aa', [OK, IN_PROGRESS], 1),
    'other body': (
        [],
        'a done w1 a:other b:other',
        [OK, MISMATCH, MISMATCH],
        1,
    ),
    'other body at once': ([], 'a b:other', [OK, MISMATCH], 1),
    # The instance that holds the claim crashes.
    'dies before the append': ([], 'cut-a a . kill-a b', [CANCELLED, OK], 1),
    'dies after the append': (
        [],
        'hold-a a waiting-a kill-a b',
        [CANCELLED, IN_PROGRESS],
        0,
    ),
    'dies after dispatch': (
        [],
        'gate a running kill-a b done-b open',
        [CANCELLED, IN_PROGRESS],
        1,
    ),
    'dies after the answer': ([], 'a done w1 kill-a b', [OK, REPLAYED], 1),
    'dies before the outcome': (
        [],
        'gate a running cut-a open done kill-a b',
        [OK, IN_PROGRESS],
        1,
    ),
    'all die': ([], 'a done w1 kill-a kill-b add-c c', [OK, REPLAYED], 1),
    'all die in the middle': (
        [],
        'gate a running kill-a kill-b add-c c w1 open',
        [CANCELLED, IN_PROGRESS],
        1,
    ),
    # The instance that holds the claim pauses.
    'pauses before the append': (
        [],
        'cut-a a . pause-a heal-a w40 b done-b resume-a',
        [LOG_UNAVAILABLE, OK],
        1,
    ),
    'pauses after the append': (
        [],
        'pause-a a . w40 b . resume-a w2 b',
        [LOG_UNAVAILABLE, IN_PROGRESS, OK],
        1,
    ),
    'pauses briefly after the append': (
        [],
        'pause-a a . w1 resume-a done w1 b',
        [OK, REPLAYED],
        1,
    ),
    'waits too long for a target': (
        [],
        'hold-a a waiting-a w31 b free-a done w2 b',
        [LOG_UNAVAILABLE, IN_PROGRESS, OK],
        1,
    ),
    'pauses past the window': (
        [],
        'hold-a a waiting-a pause-a w90000 b done-b resume-a free-a done w2 b',
        [('request-timeout', 'not run'), OK, REPLAYED],
        1,
    ),
    'pauses after dispatch': (
        [],
        'gate a running pause-a open b done-b resume-a done w2 b',
        [OK, IN_PROGRESS, REPLAYED],
        1,
    ),
    # The log fails or is unreachable.
    'partitioned before the append': (
        [],
        'cut-a a w6 b',
        [LOG_UNAVAILABLE, OK],
        1,
    ),
    'partitioned after the append': (
        [],
        'gate a running cut-a b done-b open done w1 b heal-a w5 b',
        [OK, IN_PROGRESS, IN_PROGRESS, REPLAYED],
        1,
    ),
    'repeat at a partitioned instance': (
        [],
        'cut-b a b w6 done heal-b w5 b',
        [OK, LOG_UNAVAILABLE, REPLAYED],
        1,
    ),
    'log down': (
        [],
        'down a w12 a done up w3 b',
        [LOG_UNAVAILABLE, LOG_UNAVAILABLE, OK],
        1,
    ),
    'repeat while the log is down': (
        [],
        'a done w1 down b done up w3 b',
        [OK, ('claims-unavailable', 'ran'), REPLAYED],
        1,
    ),
    'response lost': ([], 'lost-a a done w1 b', [OK, REPLAYED], 1),
    'response lost, both at once': (
        [],
        'lost-a lost-b ab',
        [OK, IN_PROGRESS],
        1,
    ),
    'append lands late': (
        [],
        'late-a cut-later-a a w6 b done w1 land heal-a w5 b',
        [LOG_UNAVAILABLE, OK, REPLAYED],
        1,
    ),
    'append lands late, before the repeat': (
        [],
        'late-a cut-later-a a w6 land . b done heal-a w5 b',
        [LOG_UNAVAILABLE, IN_PROGRESS, OK],
        1,
    ),
    'append lands twice': (
        [],
        'late-a a w1 done land w1 b',
        [OK, REPLAYED],
        1,
    ),
    'append lands again after its release': (
        [None],
        'late-a a w1 done w1 land w1 b',
        [TARGET_UNREACHABLE, TARGET_UNREACHABLE],
        0,
    ),
    'rate limit': ([], 'limited-a limited-a a done w1 b', [OK, REPLAYED], 1),
    'release lost': (
        [None, []],
        'only-0 dropped-a-2 a done w2 only-1 b',
        [TARGET_UNREACHABLE, OK],
        1,
    ),
    'release never arrives': (
        [None, []],
        'only-0 dropped-a-2 dropped-a dropped-a dropped-a a done cut-a w1 '
        'only-1 b',
        [TARGET_UNREACHABLE, IN_PROGRESS],
        0,
    ),
    # The claim is in force for the whole window.
    'repeat in the window': ([], 'a done w80000 b', [OK, REPLAYED], 1),
    # The target fails.
    'connection refused': (
        [None],
        'a done w1 b',
        [TARGET_UNREACHABLE, TARGET_UNREACHABLE],
        0,
    ),
    'connection refused, repeated at once': (
        [None, []],
        'only-0 a done only-1 a',
        [TARGET_UNREACHABLE, OK],
        1,
    ),
    'connection refused, then another': ([None, []], 'a', [OK], 1),
    'cut before execution': (
        [['cut-before']],
        'a done w1 b',
        [CONNECTION_LOST, OUTCOME_UNAVAILABLE],
        0,
    ),
    'cut after execution': (
        [['cut-after']],
        'a done w1 b',
        [CONNECTION_LOST, OUTCOME_UNAVAILABLE],
        1,
    ),
    'cut after execution, another target': (
        [['cut-after'], []],
        'a done w1 b',
        [CONNECTION_LOST, OUTCOME_UNAVAILABLE],
        1,
    ),
    'cut in the answer': (
        [['cut-in-answer']],
        'a done w1 b',
        [CONNECTION_LOST, OUTCOME_UNAVAILABLE],
        1,
    ),
    'refused by the target': (
        [['refuse']],
        'a done w1 b',
        [TARGET_REFUSED, OK],
        1,
    ),
    '503 of the target': (
        [['unavailable']],
        'a done w1 b',
        [('status', 503), ('status', 503)],
        1,
    ),
}


class _CaseRunner:
    """Executes the steps of one case."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.calls = []
        self.gate = asyncio.Event()

    async def step(self, step):
        """Executes one step."""
        name, _, rest = step.partition('-')
        simulation = self.simulation
        match name:
            case '.':
                await simulation.settle()
            case _ if name[0] == 'w' and name[1:].isdigit():
                await simulation.wait(float(name[1:]))
            case 'down' | 'up':
                simulation.log.down = name == 'down'
            case 'land':
                simulation.log.apply_delayed_appends()
            case 'done':
                await simulation.finish(
                    [asyncio.create_task(asyncio.wait(self.open_calls(rest)))]
                )
            case 'running':
                await self._wait_until(
                    lambda: any(state.running for state in simulation.services)
                )
            case 'waiting':
                scheduler = simulation.instances[rest].call_handler.scheduler
                await self._wait_until(lambda: scheduler.waiting)
            case 'gate':
                for state in simulation.services:
                    state.gate = self.gate
            case 'open':
                self.gate.set()
            case 'only':
                for instance in simulation.instances.values():
                    instance.call_handler.scheduler.target_ids = [
                        f'shop-{rest}'
                    ]
            case 'add':
                await simulation.add_instance(
                    rest, next(iter(simulation.instances.values()))
                )
            case 'lost' | 'late' | 'dropped' | 'limited':
                target, _, number = rest.partition('-')
                faults = simulation.instances[target].view.faults
                faults.extend([None] * (int(number or 1) - 1))
                faults.append(name)
            case (
                'cut' | 'heal' | 'kill' | 'pause' | 'resume' | 'hold' | 'free'
            ):
                await self._instance_step(name, rest)
            case _:
                self._send(step)

    def open_calls(self, name):
        """Returns the last call of an instance; without a name, all calls."""
        if not name:
            return [task for _, task in self.calls]
        return [task for sender, task in self.calls if sender == name][-1:]

    async def _wait_until(self, condition):
        for _ in range(1_000):
            if condition():
                return
            await self.simulation.settle()
            self.simulation.timer.advance(0.01)
        raise AssertionError('the condition was not met in time')

    async def _instance_step(self, name, rest):
        if rest.startswith('later-'):
            # Drops the appends that follow those with a set fault.
            instance = self.simulation.instances[rest.removeprefix('later-')]
            instance.view.faults.extend(['dropped'] * 20)
            return
        instance = self.simulation.instances[rest]
        scheduler = instance.call_handler.scheduler
        match name:
            case 'cut' | 'heal':
                instance.view.reachable = name == 'heal'
                instance.view.faults.clear()
                self.simulation.log.wake_readers()
            case 'kill':
                await instance.kill()
            case 'pause':
                instance.timer.running.clear()
            case 'resume':
                instance.timer.resume()
            case 'hold':
                scheduler.holds_requests = True
            case 'free':
                scheduler.holds_requests = False
                instance.call_handler.calls._attempts._dispatcher._schedule()

    def _send(self, step):
        names, _, body = step.partition(':')
        for name in names:
            request = service_attempts.CallerRequest(
                'POST',
                '/book',
                (('Idempotency-Key', 'key-1'), ('X-Business-Key', 'k')),
                body.encode(),
            )
            call = self.simulation.instances[name].call_handler.call(
                ROUTE,
                request,
                timeout_s=600.0,
                request_id=f'r{len(self.calls)}',
            )
            self.calls.append((name, asyncio.create_task(call)))


def _result(task):
    """Returns the result of a call, as in the table of cases."""
    if task.cancelled():
        return CANCELLED
    outcome = task.result()
    if outcome.error is not None:
        return (outcome.error.kind.value, outcome.error.execution.value)
    if outcome.response.status != 200:
        return ('status', outcome.response.status)
    if service_calls.REPLAYED_HEADER in outcome.response.headers:
        return REPLAYED
    return OK


@pytest.mark.parametrize(
    ('faults', 'steps', 'answers', 'executions'),
    CASES.values(),
    ids=CASES.keys(),
)
async def test_a_key_runs_at_most_once(
    claims_simulation, faults, steps, answers, executions
):
    """Guards against a second execution and a false "not run"."""
    simulation = await claims_simulation(*faults)
    runner = _CaseRunner(simulation)
    for step in steps.split():
        await runner.step(step)
    tasks = runner.open_calls('')
    await simulation.finish(
        [asyncio.create_task(asyncio.wait(tasks))], limit_s=700.0
    )
    runner.gate.set()
    simulation.log.apply_delayed_appends()
    await simulation.wait(2.0)
    assert [_result(task) for task in tasks] == answers
    by_key = sum(state.by_business_key['k'] for state in simulation.services)
    assert by_key == executions
    assert by_key <= 1
    for number, task in enumerate(tasks):
        if (_result(task) or OK)[-1] == 'not run':
            for state in simulation.services:
                assert not any(
                    request_id.startswith(f'r{number}.')
                    for request_id in state.by_request_id
                )
