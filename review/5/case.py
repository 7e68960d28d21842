"""An overloaded engine asks for pauses; its neighbour crashes meanwhile.

Streams of the crashed engine continue from their copies at the overloaded
one. They wait for the end of the first pause; a second answer extends it.
"""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common'))

import engines  # noqa: E402
import http_io  # noqa: E402
import machines  # noqa: E402
import store as stores  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
STABLE_S = 3.0
STREAMS = 16
PAUSE_S = 6.0
# First answers of the overloaded engine: the time for which the request waits
# in its queue, and the pause that it asks for, in seconds.
REJECTIONS = ((0.5, 1.2), (0.7, PAUSE_S))
CRASH_AFTER_S = 0.1
SLACK_S = 0.5
ALLOWED = 2


class Overloaded(engines.Engine):
    """Turns away every request while it is overloaded, after some time.

    Attributes:
        overloaded: Whether it is overloaded.
        queued: Number of requests that it has turned away or will.
        rejections: Time of each rejection and the pause that it asks for.
    """

    overloaded = False
    queued = 0

    async def run(
        self,
        request: http_io.Message,
        request_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if not self.overloaded:
            await super().run(request, request_id, reader, writer)
            return
        after_s, pause_s = 0.0, PAUSE_S
        if self.queued < len(REJECTIONS):
            after_s, pause_s = REJECTIONS[self.queued]
        self.queued += 1
        # The request waits in the queue before it is turned away.
        await asyncio.sleep(after_s)
        self.rejections.append((self.record.now_s(), pause_s))
        self.record.write(
            self.engine_id, 'turns away', request_id, 'for', pause_s, 's'
        )
        headers = self.headers(request_id) | {
            'X-Not-Executed': '1',
            'Retry-After': pause_s,
        }
        writer.write(http_io.encode('HTTP/1.1 503 x', headers))


async def send(
    machine: machines.Machine,
    record: machines.Record,
    request_id: str,
    outcomes: dict[str, str],
) -> None:
    """Sends one stream request and records how it ended."""
    headers = {
        'X-Attempt-Id': request_id,
        'X-Deadline-Ms': 30000,
        'Api-Key': 'key-1',
        'X-Model': 'm',
        'X-Token-Usage': '800,400',
        'X-Prompt-Prefix': f'aa01:700,{request_id.encode().hex()}:100',
    }
    record.write('client sends', request_id)
    answer = await machines.call(
        machine.host,
        machines.FRONT_PORT,
        f'POST /guide/{request_id} HTTP/1.1',
        headers,
        b'body of ' + request_id.encode(),
    )
    outcome = 'closed'
    if answer is not None:
        ids = answer.body.count(b'id: ')
        end = 'whole' if answer.complete else 'cut'
        outcome = f'{answer.status} {end} {ids} events'
    outcomes[request_id] = outcome
    record.write('client gets', request_id, outcome)


async def play(record: machines.Record, folder: str) -> int:
    """Plays the case; returns the exit code."""
    store = stores.Store()
    await store.start(machines.address(200))
    store.write('keyed.op', 'config', machines.configuration())
    crashing, busy = servers = [
        Overloaded(name, 'model', machines.address(101 + n), store, record)
        for n, name in enumerate(('crashing', 'busy'))
    ]
    for server in servers:
        server.rejections = []
        server.events = 160
        await server.start()
    fronts = [
        machines.Machine(n, store.address, record, folder) for n in (1, 2)
    ]
    front = fronts[0]
    outcomes: dict[str, str] = {}
    tasks = []

    def begin(name: str) -> None:
        task = asyncio.create_task(send(front, record, name, outcomes))
        tasks.append(task)

    try:
        for machine in fronts:
            machine.start()
        for machine in fronts:
            if not await machine.wait_ready():
                return 2
        await asyncio.sleep(STABLE_S + 0.5)
        for number in range(STREAMS):
            begin(f'guide-{number}')
        await asyncio.sleep(2.0)
        busy.overloaded = True
        for number in range(40):
            if busy.queued >= len(REJECTIONS):
                break
            begin(f'new-{number}')
            await asyncio.sleep(0.05)
        while not busy.rejections:
            await asyncio.sleep(0.01)
        await asyncio.sleep(CRASH_AFTER_S)
        if TROUBLE:
            record.write('crashing ends with', crashing.running, 'requests')
            crashing.crash()
        await asyncio.sleep(PAUSE_S)
        busy.overloaded = False
        await asyncio.wait(tasks, timeout=30)
    finally:
        for machine in fronts:
            machine.end()
        for server in servers:
            server.crash()
        store.close()
    return judge(record, busy, outcomes)


def judge(
    record: machines.Record, busy: Overloaded, outcomes: dict[str, str]
) -> int:
    """Applies the rule to what the stand-ins saw."""
    whole = sum(o.startswith('200 whole') for o in outcomes.values())
    record.write('whole streams:', whole, 'of', len(outcomes))
    if len(busy.rejections) < len(REJECTIONS):
        record.write('the engine turned too few requests away')
        return 2
    broken = False
    for at_s, pause_s in busy.rejections[: len(REJECTIONS)]:
        arrived = [
            request_id
            for arrival_s, request_id in busy.arrivals
            if at_s + SLACK_S < arrival_s < at_s + pause_s
        ]
        record.write(
            'pause of',
            pause_s,
            's from',
            round(at_s, 2),
            ':',
            len(arrived),
            'requests from front-1,',
            ALLOWED,
            'allowed',
            arrived,
        )
        broken = broken or len(arrived) > ALLOWED
    record.write('BUDGET', 'broken' if broken else 'held')
    return 1 if broken else 0


async def main() -> int:
    """Plays the case in a temporary folder."""
    record = machines.Record(HERE / 'record.txt')
    with machines.temporary_folder() as folder:
        return await play(record, folder)


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
