"""Engines in need lower their limit while requests wait for their turns."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common'))

import engines  # noqa: E402
import machines  # noqa: E402
import store as stores  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
STABLE_S = 3.0
# Limits of each engine, in requests a second, and the times of the changes.
HIGH = 3.0
LOW = 0.2
NAMED_AT_S = 2.0
LOWERED_AT_S = 12.0
LENGTH_S = 20.0
# Streams a second of all clients: 1.6 times those of the site.
RATE = 9.0
WINDOW_S = 4.0
FACTOR = 1.5
EXTRA = 5
KNOWN_AFTER_S = 0.5


class Limited(engines.Engine):
    """Names its limit in its answers."""

    limit: float | None = None

    def headers(self, request_id: str) -> dict[str, str]:
        """Returns the headers of its answers."""
        headers = super().headers(request_id)
        if self.limit is not None:
            headers['Server-Limit'] = str(self.limit)
        return headers


async def send(
    machine: machines.Machine,
    record: machines.Record,
    request_id: str,
    named: dict[tuple[str, str, str], float],
    outcomes: list[str],
) -> None:
    """Sends one stream request; notes which limit the answer names."""
    own = request_id.encode().hex()
    headers = {
        'X-Attempt-Id': request_id,
        'X-Deadline-Ms': 20000,
        'Api-Key': 'key-1',
        'X-Model': 'm',
        'X-Token-Usage': '400,40',
        'X-Prompt-Prefix': f'aa01:300,{own}:100',
    }
    record.write('client sends', request_id, 'to', machine.name)
    answer = await machines.call(
        machine.host,
        machines.FRONT_PORT,
        f'POST /guide/{request_id} HTTP/1.1',
        headers,
        b'body of ' + request_id.encode(),
    )
    outcome = 'closed' if answer is None else str(answer.status)
    outcomes.append(outcome)
    if answer is not None and answer.status == 200:
        engine_id = answer.headers['x-upstream-seal'].split('.')[1]
        limit = answer.headers.get('server-limit', 'none')
        outcome += f' of {engine_id}, limit {limit}'
        named.setdefault((machine.name, engine_id, limit), record.now_s())
    record.write('client gets', request_id, outcome)


async def play(record: machines.Record, folder: str) -> int:
    """Plays the case; returns the exit code."""
    store = stores.Store()
    await store.start(machines.address(200))
    store.write('keyed.op', 'config', machines.configuration())
    servers = [
        Limited(f'e{n}', 'model', machines.address(101 + n), store, record)
        for n in range(2)
    ]
    for server in servers:
        server.events = 10
        server.event_s = 0.02
        await server.start()
    fronts = [
        machines.Machine(n, store.address, record, folder) for n in (1, 2)
    ]
    named: dict[tuple[str, str, str], float] = {}
    outcomes: list[str] = []
    tasks = []
    try:
        for front in fronts:
            front.start()
        for front in fronts:
            if not await front.wait_ready():
                return 2
        await asyncio.sleep(STABLE_S + 0.5)
        begin_s = record.now_s()
        while (passed_s := record.now_s() - begin_s) < LENGTH_S:
            limit = None
            if passed_s >= NAMED_AT_S:
                limit = HIGH
            if TROUBLE and passed_s >= LOWERED_AT_S:
                limit = LOW
            for server in servers:
                if server.limit != limit:
                    record.write(server.engine_id, 'names', limit, 'a second')
                    server.limit = limit
            name = f'guide-{len(tasks)}'
            front = fronts[len(tasks) % 2]
            task = asyncio.create_task(
                send(front, record, name, named, outcomes)
            )
            tasks.append(task)
            await asyncio.sleep(1 / RATE)
        await asyncio.wait(tasks, timeout=10)
    finally:
        for front in fronts:
            front.end()
        for server in servers:
            server.crash()
        store.close()
    if '200' not in outcomes:
        return 2
    verdicts = [judge(record, server, named) for server in servers]
    record.write('LIMIT', 'broken' if 1 in verdicts else 'held')
    return 2 if 2 in verdicts else max(verdicts)


def known_s(
    named: dict[tuple[str, str, str], float], engine_id: str, limit: float
) -> float | None:
    """Returns when both machines had passed on an answer with a limit."""
    times = [named.get((f'front-{n}', engine_id, str(limit))) for n in (1, 2)]
    return None if None in times else max(times)


def judge(
    record: machines.Record,
    server: Limited,
    named: dict[tuple[str, str, str], float],
) -> int:
    """Applies the rule to the arrivals at one engine.

    A limit counts from half a second after both machines have passed on an
    answer that names it; until then the higher one does.
    """
    high_s = known_s(named, server.engine_id, HIGH)
    if high_s is None:
        return 2
    from_s = high_s + STABLE_S
    low_s = float('inf')
    if TROUBLE:
        low_s = known_s(named, server.engine_id, LOW)
        if low_s is None:
            return 2
        low_s += KNOWN_AFTER_S
    times = [at_s for at_s, _ in server.arrivals]
    worst = None
    for begin_s in [*times, low_s if TROUBLE else from_s]:
        if begin_s < from_s:
            continue
        end_s = begin_s + WINDOW_S
        high_time_s = max(0.0, min(end_s, low_s) - begin_s)
        allowed = FACTOR * (
            HIGH * high_time_s + LOW * (WINDOW_S - high_time_s)
        )
        count = sum(begin_s <= at_s < end_s for at_s in times)
        row = (count - allowed - EXTRA, count, allowed + EXTRA, begin_s)
        worst = max(worst or row, row)
    over, count, allowed, begin_s = worst
    record.write(
        server.engine_id,
        'in 4 s from',
        round(begin_s, 2),
        ':',
        count,
        'requests,',
        round(allowed, 1),
        'allowed; the lower limit was known',
        'since',
        round(low_s - KNOWN_AFTER_S, 2),
    )
    return 1 if over > 0 else 0


async def main() -> int:
    """Plays the case in a temporary folder."""
    record = machines.Record(HERE / 'record.txt')
    with machines.temporary_folder() as folder:
        return await play(record, folder)


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
