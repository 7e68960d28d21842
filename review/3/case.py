"""A part of a prompt ends each engine that begins to write an answer on it.

The engine ends while it writes the head of its answer, before the first event.
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
# Where the engine ends: ``part`` in the head of its answer, ``none`` before
# its first byte, ``head`` after the whole head (for comparison).
ENDS = os.environ.get('ENDS', 'part')
POISON = 'dead0001'
ENGINES = 7
MACHINES = 2
BACK_S = 3.0
STABLE_S = 3.0
CRASHES_COUNTED_FROM = 5
LATE_MAX = 3
LENGTH_S = 40.0
POISON_EVERY_S = 1.2
SOUND_EVERY_S = 0.25


class Crashing(engines.Engine):
    """Ends when it begins to write on the poisoned part."""

    crashes: list[float] = []
    starts = 0

    async def _answer(
        self,
        request: http_io.Message,
        request_id: str,
        writer: asyncio.StreamWriter,
    ) -> None:
        parts = request.headers.get('x-prompt-prefix', '')
        if POISON not in parts:
            await super()._answer(request, request_id, writer)
            return
        await asyncio.sleep(self.work_s)
        rows = ['HTTP/1.1 200 OK', 'Transfer-Encoding: chunked']
        headers = self.headers(request_id)
        rows += [f'{name}: {value}' for name, value in headers.items()]
        head = '\r\n'.join(rows).encode() + b'\r\n\r\n'
        size = {'none': 0, 'part': len(head) // 2, 'head': len(head)}[ENDS]
        writer.write(head[:size])
        await asyncio.sleep(0.01)
        Crashing.crashes.append(self.record.now_s())
        self.record.write(
            self.engine_id,
            'ends under',
            request_id,
            'with',
            self.running - 1,
            'other requests',
        )
        self.crash()
        Crashing.tasks.add(asyncio.create_task(self._come_back()))

    tasks: set = set()

    async def _come_back(self) -> None:
        old_id = self.engine_id
        await asyncio.sleep(BACK_S)
        Crashing.starts += 1
        self.engine_id = f'{old_id.split("+")[0]}+{Crashing.starts}'
        self.born_ms += 1000
        await self.start()
        self.record.write(self.engine_id, 'is back')
        await asyncio.sleep(engines.BEATS_MAX * engines.BEAT_S - BACK_S)
        self._store.write(engines.TOPIC, old_id, None)


async def send(
    machine: machines.Machine,
    record: machines.Record,
    request_id: str,
    parts: str,
    outcomes: dict[str, str],
) -> None:
    """Sends one stream request and records how it ended."""
    headers = {
        'X-Attempt-Id': request_id,
        'X-Deadline-Ms': 20000,
        'Api-Key': 'key-1',
        'X-Model': 'm',
        'X-Token-Usage': '400,80',
        'X-Prompt-Prefix': parts,
    }
    record.write('client sends', request_id, 'to', machine.name)
    answer = await machines.call(
        machine.host,
        machines.FRONT_PORT,
        f'POST /guide/{request_id} HTTP/1.1',
        headers,
        b'body of ' + request_id.encode(),
    )
    if answer is None:
        outcome = 'closed'
    elif not answer.complete:
        outcome = f'{answer.status} cut'
    else:
        outcome = str(answer.status)
    outcomes[request_id] = outcome
    record.write('client gets', request_id, outcome)


async def play(record: machines.Record, folder: str) -> int:
    """Plays the case; returns the exit code."""
    store = stores.Store()
    await store.start(machines.address(200))
    document = machines.configuration()
    document['services'][1]['engine'] |= {'moves': False, 'backups': False}
    store.write('keyed.op', 'config', document)
    servers = [
        Crashing(f'e{n}', 'model', machines.address(100 + n), store, record)
        for n in range(ENGINES)
    ]
    for server in servers:
        await server.start()
    fronts = [
        machines.Machine(n + 1, store.address, record, folder)
        for n in range(MACHINES)
    ]
    outcomes: dict[str, str] = {}
    tasks = []
    try:
        for front in fronts:
            front.start()
        for front in fronts:
            if not await front.wait_ready():
                record.write(front.name, 'is not ready')
                return 2
        # In touch: a start excuses a machine for the stable window.
        await asyncio.sleep(STABLE_S + 0.5)
        begin_s = record.now_s()
        sent = poisoned = 0
        while record.now_s() - begin_s < LENGTH_S:
            due = (record.now_s() - begin_s) / POISON_EVERY_S
            if TROUBLE and poisoned <= due:
                poisoned += 1
                parts = f'aa01:200,{POISON}:100,f{poisoned:05x}:100'
                name = f'poison-{poisoned}'
                front = fronts[poisoned % MACHINES]
                tasks.append(
                    asyncio.create_task(
                        send(front, record, name, parts, outcomes)
                    )
                )
            sent += 1
            parts = f'aa01:200,bb{sent % 4:02x}:100,c{sent:05x}:100'
            front = fronts[sent % MACHINES]
            tasks.append(
                asyncio.create_task(
                    send(front, record, f'sound-{sent}', parts, outcomes)
                )
            )
            await asyncio.sleep(SOUND_EVERY_S)
        await asyncio.wait(tasks, timeout=25)
    finally:
        for front in fronts:
            front.end()
        for server in servers:
            server.crash()
        store.close()
    return judge(record, servers, outcomes)


def judge(
    record: machines.Record,
    servers: list[Crashing],
    outcomes: dict[str, str],
) -> int:
    """Applies the rule to what the stand-ins saw."""
    crashes = sorted(Crashing.crashes)
    cut = [
        name
        for name, outcome in outcomes.items()
        if name.startswith('sound') and outcome not in ('200', '503', '429')
    ]
    served = sum(
        outcome == '200' and name.startswith('sound')
        for name, outcome in outcomes.items()
    )
    record.write('crashes:', len(crashes), [round(s, 1) for s in crashes])
    record.write('sound requests served:', served, 'cut off:', len(cut))
    if not served:
        record.write('no sound request was served')
        return 2
    if len(crashes) < CRASHES_COUNTED_FROM:
        record.write('BUDGET held: fewer than five crashes')
        return 0
    from_s = crashes[CRASHES_COUNTED_FROM - 1] + STABLE_S
    late = [
        (round(at_s, 2), request_id)
        for server in servers
        for at_s, request_id in server.arrivals
        if request_id.startswith('poison') and at_s > from_s
    ]
    record.write('late arrivals from', round(from_s, 2), sorted(late))
    if len(late) > LATE_MAX:
        record.write('BUDGET broken:', len(late), 'of', LATE_MAX, 'allowed')
        return 1
    record.write('BUDGET held:', len(late), 'late arrivals')
    return 0


async def main() -> int:
    """Plays the case in a temporary folder."""
    record = machines.Record(HERE / 'record.txt')
    with machines.temporary_folder() as folder:
        return await play(record, folder)


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
