"""Fault cases of claimed calls, as one table.

Each case is a list of steps and the answers that the calls get, in the order
in which they were sent. In every case a key runs at most once, and a call
whose caller was told "not run" has not run and never does.
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
BUSY = ('claim-in-progress', 'unknown')
NO_LOG = ('claims-unavailable', 'not run')
CUT = ('target-failed', 'unknown')
ENDED = ('claim-outcome-unavailable', 'unknown')
UNREACHABLE = ('target-unreachable', 'not run')
REFUSED = ('target-refused', 'not run')
OTHER_BODY = ('claim-mismatch', 'unknown')
GONE = None

CASES = {
    'plain call': ([], 'a', [OK], 1),
    'repeat here': ([], 'a done w1 a', [OK, REPLAYED], 1),
    'repeat elsewhere': ([], 'a done w1 b', [OK, REPLAYED], 1),
    'two instances at once': ([], 'ab', [OK, BUSY], 1),
    'twice at one instance': ([], 'aa', [OK, BUSY], 1),
    'other body': (
        [],
        'a done w1 a:other b:other',
        [OK, OTHER_BODY, OTHER_BODY],
        1,
    ),
    'other body at once': ([], 'a b:other', [OK, OTHER_BODY], 1),
    # The claimant dies.
    'dies before the append': ([], 'cut-a a . kill-a b', [GONE, OK], 1),
    'dies after the append': (
        [],
        'hold-a a waiting-a kill-a b',
        [GONE, BUSY],
        0,
    ),
    'dies after dispatch': (
        [],
        'gate a running kill-a b done-b open',
        [GONE, BUSY],
        1,
    ),
    'dies after the answer': ([], 'a done w1 kill-a b', [OK, REPLAYED], 1),
    'dies before the outcome': (
        [],
        'gate a running cut-a open done kill-a b',
        [OK, BUSY],
        1,
    ),
    'all die': ([], 'a done w1 kill-a kill-b add-c c', [OK, REPLAYED], 1),
    'all die in the middle': (
        [],
        'gate a running kill-a kill-b add-c c w1 open',
        [GONE, BUSY],
        1,
    ),
    # The claimant pauses.
    'pauses before the append': (
        [],
        'cut-a a . pause-a heal-a w40 b done-b resume-a',
        [NO_LOG, OK],
        1,
    ),
    'pauses after the append': (
        [],
        'pause-a a . w40 b . resume-a w2 b',
        [NO_LOG, BUSY, OK],
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
        [NO_LOG, BUSY, OK],
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
        [OK, BUSY, REPLAYED],
        1,
    ),
    # The log fails or is out of reach.
    'partitioned before the append': (
        [],
        'cut-a a w6 b',
        [NO_LOG, OK],
        1,
    ),
    'partitioned after the append': (
        [],
        'gate a running cut-a b done-b open done w1 b heal-a w5 b',
        [OK, BUSY, BUSY, REPLAYED],
        1,
    ),
    'repeat at a partitioned instance': (
        [],
        'cut-b a b w6 done heal-b w5 b',
        [OK, NO_LOG, REPLAYED],
        1,
    ),
    'log down': ([], 'down a w12 a done up w3 b', [NO_LOG, NO_LOG, OK], 1),
    'repeat while the log is down': (
        [],
        'a done w1 down b done up w3 b',
        [OK, ('claims-unavailable', 'ran'), REPLAYED],
        1,
    ),
    'response lost': ([], 'lost-a a done w1 b', [OK, REPLAYED], 1),
    'response lost, both at once': ([], 'lost-a lost-b ab', [OK, BUSY], 1),
    'append lands late': (
        [],
        'late-a cut-later-a a w6 b done w1 land heal-a w5 b',
        [NO_LOG, OK, REPLAYED],
        1,
    ),
    'append lands late, before the repeat': (
        [],
        'late-a cut-later-a a w6 land . b done heal-a w5 b',
        [NO_LOG, BUSY, OK],
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
        [UNREACHABLE, UNREACHABLE],
        0,
    ),
    'rate limit': ([], 'limited-a limited-a a done w1 b', [OK, REPLAYED], 1),
    'release lost': (
        [None, []],
        'only-0 dropped-a-2 a done w2 only-1 b',
        [UNREACHABLE, OK],
        1,
    ),
    'release never arrives': (
        [None, []],
        'only-0 dropped-a-2 dropped-a dropped-a dropped-a a done cut-a w1 '
        'only-1 b',
        [UNREACHABLE, BUSY],
        0,
    ),
    # The claim ends with its window.
    'repeat in the window': ([], 'a done w80000 b', [OK, REPLAYED], 1),
    # The target fails.
    'connection refused': (
        [None],
        'a done w1 b',
        [UNREACHABLE, UNREACHABLE],
        0,
    ),
    'connection refused, repeated at once': (
        [None, []],
        'only-0 a done only-1 a',
        [UNREACHABLE, OK],
        1,
    ),
    'connection refused, then another': ([None, []], 'a', [OK], 1),
    'cut before execution': ([['cut-before']], 'a done w1 b', [CUT, ENDED], 0),
    'cut after execution': ([['cut-after']], 'a done w1 b', [CUT, ENDED], 1),
    'cut after execution, another target': (
        [['cut-after'], []],
        'a done w1 b',
        [CUT, ENDED],
        1,
    ),
    'cut in the answer': ([['cut-in-answer']], 'a done w1 b', [CUT, ENDED], 1),
    'refused by the target': ([['refuse']], 'a done w1 b', [REFUSED, OK], 1),
    '503 of the target': (
        [['unavailable']],
        'a done w1 b',
        [('status', 503), ('status', 503)],
        1,
    ),
}


class _Run:
    """Runs the steps of one case."""

    def __init__(self, project):
        self.project = project
        self.calls = []
        self.gate = asyncio.Event()

    async def step(self, step):
        """Runs one step."""
        name, _, rest = step.partition('-')
        project = self.project
        match name:
            case '.':
                await project.settle()
            case _ if name[0] == 'w' and name[1:].isdigit():
                await project.wait(float(name[1:]))
            case 'down' | 'up':
                project.log.down = name == 'down'
            case 'land':
                project.log.land_late()
            case 'done':
                await project.finish(
                    [asyncio.create_task(asyncio.wait(self.open_calls(rest)))]
                )
            case 'running':
                await self._until(
                    lambda: any(state.running for state in project.services)
                )
            case 'waiting':
                scheduler = project.instances[rest].project.scheduler
                await self._until(lambda: scheduler.waiting)
            case 'gate':
                for state in project.services:
                    state.gate = self.gate
            case 'open':
                self.gate.set()
            case 'only':
                for instance in project.instances.values():
                    instance.project.scheduler.target_ids = [f'shop-{rest}']
            case 'add':
                await project.add(rest, next(iter(project.instances.values())))
            case 'lost' | 'late' | 'dropped' | 'limited':
                target, _, number = rest.partition('-')
                faults = project.instances[target].view.faults
                faults.extend([None] * (int(number or 1) - 1))
                faults.append(name)
            case (
                'cut' | 'heal' | 'kill' | 'pause' | 'resume' | 'hold' | 'free'
            ):
                await self._instance_step(name, rest)
            case _:
                self._send(step)

    def open_calls(self, name):
        """The last call of an instance, or all calls."""
        if not name:
            return [task for _, task in self.calls]
        return [task for sender, task in self.calls if sender == name][-1:]

    async def _until(self, condition):
        for _ in range(1_000):
            if condition():
                return
            await self.project.settle()
            self.project.timer.advance(0.01)
        raise AssertionError('the condition never held')

    async def _instance_step(self, name, rest):
        if rest.startswith('later-'):
            # After the next append, which has a fault of its own.
            instance = self.project.instances[rest.removeprefix('later-')]
            instance.view.faults.extend(['dropped'] * 20)
            return
        instance = self.project.instances[rest]
        scheduler = instance.project.scheduler
        match name:
            case 'cut' | 'heal':
                instance.view.reachable = name == 'heal'
                instance.view.faults.clear()
                self.project.log.wake()
            case 'kill':
                await instance.kill()
            case 'pause':
                instance.timer.running.clear()
            case 'resume':
                instance.timer.resume()
            case 'hold':
                scheduler.holding = True
            case 'free':
                scheduler.holding = False
                instance.project.calls._attempts._dispatcher._run()

    def _send(self, step):
        names, _, body = step.partition(':')
        for name in names:
            request = service_attempts.CallerRequest(
                'POST',
                '/book',
                (('Idempotency-Key', 'key-1'), ('X-Business-Key', 'k')),
                body.encode(),
            )
            call = self.project.instances[name].project.call(
                ROUTE,
                request,
                timeout_s=600.0,
                request_id=f'r{len(self.calls)}',
            )
            self.calls.append((name, asyncio.create_task(call)))


def _seen(task):
    if task.cancelled():
        return GONE
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
    claims_project, faults, steps, answers, executions
):
    """Guards against a second execution and a false "not run"."""
    project = await claims_project(*faults)
    run = _Run(project)
    for step in steps.split():
        await run.step(step)
    tasks = run.open_calls('')
    await project.finish(
        [asyncio.create_task(asyncio.wait(tasks))], limit_s=700.0
    )
    run.gate.set()
    project.log.land_late()
    await project.wait(2.0)
    assert [_seen(task) for task in tasks] == answers
    by_key = sum(state.by_business_key['k'] for state in project.services)
    assert by_key == executions
    assert by_key <= 1
    for number, task in enumerate(tasks):
        if (_seen(task) or OK)[-1] == 'not run':
            for state in project.services:
                assert not any(
                    request_id.startswith(f'r{number}.')
                    for request_id in state.by_request_id
                )
