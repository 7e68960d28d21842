"""A part of a prompt ends an engine; another engine crashes for itself.

The crash falls into the time in which a sound request is read in: its engine
has written the head of the answer and no event.
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

# The disruption is the engine's own crash; the poisoned requests always come.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
FIRST_PART = 'aa01'
POISON = 'dead0001'
ENGINES = 7
MACHINES = 2
BACK_S = 4.5
STABLE_S = 3.0
COUNTED_CRASHES = 5
EVERY_S = 1.0
PREFILL_S = 0.6
CALM = 24
LATE = 34
COUNT_MIN = 20


class Engine(engines.Engine):
    """Writes the head as it begins, and the first event after the prompt."""

    poisoned_ends: list[float] = []
    starts = 0
    tasks: set = set()

    async def _answer(
        self,
        request: http_io.Message,
        request_id: str,
        writer: asyncio.StreamWriter,
    ) -> None:
        rows = ['HTTP/1.1 200 OK', 'Transfer-Encoding: chunked']
        rows.append('Content-Type: text/event-stream')
        headers = self.headers(request_id)
        rows += [f'{name}: {value}' for name, value in headers.items()]
        writer.write('\r\n'.join(rows).encode() + b'\r\n\r\n')
        if POISON in request.headers.get('x-prompt-prefix', ''):
            await asyncio.sleep(0.02)
            Engine.poisoned_ends.append(self.record.now_s())
            self.record.write(self.engine_id, 'ends under', request_id)
            self.go_down()
            return
        await asyncio.sleep(PREFILL_S)
        for number in range(1, self.events + 1):
            event = b'id: %d\ndata: token %d\n\n' % (number, number)
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b'0\r\n\r\n')
        await writer.drain()

    def go_down(self) -> None:
        """Crashes, and comes back after some seconds under a new id."""
        self.crash()
        Engine.tasks.add(asyncio.create_task(self._come_back()))

    async def _come_back(self) -> None:
        old_id = self.engine_id
        await asyncio.sleep(engines.BEATS_MAX * engines.BEAT_S)
        self._store.write(engines.TOPIC, old_id, None)
        await asyncio.sleep(BACK_S - engines.BEATS_MAX * engines.BEAT_S)
        Engine.starts += 1
        self.engine_id = f'{old_id.split("+")[0]}+{Engine.starts}'
        self.born_ms += 1000
        await self.start()
        self.record.write(self.engine_id, 'is back')


async def send(
    machine: machines.Machine,
    record: machines.Record,
    request_id: str,
    part: str,
    outcomes: dict[str, bool],
) -> None:
    """Sends one stream request and records whether its answer began."""
    own = request_id.encode().hex()
    headers = {
        'X-Attempt-Id': request_id,
        'X-Deadline-Ms': 20000,
        'Api-Key': 'key-1',
        'X-Model': 'm',
        'X-Token-Usage': '3000,80',
        'X-Prompt-Prefix': f'{FIRST_PART}:200,{part}:100,{own}:2700',
    }
    record.write('client sends', request_id, 'to', machine.name)
    answer = await machines.call(
        machine.host,
        machines.FRONT_PORT,
        f'POST /guide/{request_id} HTTP/1.1',
        headers,
        b'body of ' + request_id.encode(),
    )
    outcomes[request_id] = answer is not None and b'id: 1\n' in answer.body
    outcome = 'closed'
    if answer is not None:
        retry_after = answer.headers.get('retry-after', '-')
        outcome = f'{answer.status}, Retry-After {retry_after}'
    record.write('client gets', request_id, outcome)


async def play(record: machines.Record, folder: str) -> int:
    """Plays the case; returns the exit code."""
    store = stores.Store()
    await store.start(machines.address(200))
    store.write('keyed.op', 'config', machines.configuration())
    servers = [
        Engine(f'e{n}', 'model', machines.address(100 + n), store, record)
        for n in range(ENGINES)
    ]
    for server in servers:
        await server.start()
    fronts = [
        machines.Machine(n + 1, store.address, record, folder)
        for n in range(MACHINES)
    ]
    outcomes: dict[str, bool] = {}
    sent_s: dict[str, float] = {}
    tasks = []

    def begin(name: str, part: str) -> None:
        sent_s[name] = record.now_s()
        front = fronts[len(tasks) % MACHINES]
        task = asyncio.create_task(send(front, record, name, part, outcomes))
        tasks.append(task)

    try:
        for front in fronts:
            front.start()
        for front in fronts:
            if not await front.wait_ready():
                record.write(front.name, 'is not ready')
                return 2
        await asyncio.sleep(STABLE_S + 0.5)
        for number in range(CALM):
            begin(f'calm-{number}', f'bb{number % 5:02x}')
            await asyncio.sleep(EVERY_S)
        begin('poison-0', POISON)
        await asyncio.sleep(0.2)
        begin('sound-0', 'bb01')
        await asyncio.sleep(PREFILL_S / 2)
        for server in servers:
            if TROUBLE and server.running:
                if server.ran[-1][1] == 'sound-0':
                    record.write(server.engine_id, 'crashes for itself')
                    server.go_down()
        for number in range(1, LATE):
            await asyncio.sleep(EVERY_S / 2)
            begin(f'poison-{number}', POISON)
            await asyncio.sleep(EVERY_S / 2)
            begin(f'sound-{number}', f'bb{number % 5:02x}')
        await asyncio.wait(tasks, timeout=10)
    finally:
        for front in fronts:
            front.end()
        for server in servers:
            server.crash()
        store.close()
    return judge(record, outcomes, sent_s)


def judge(
    record: machines.Record,
    outcomes: dict[str, bool],
    sent_s: dict[str, float],
) -> int:
    """Applies the rule to what the stand-ins saw."""
    ends = sorted(Engine.poisoned_ends)
    record.write('ends under the part:', [round(s, 1) for s in ends])
    calm = [b for name, b in outcomes.items() if name.startswith('calm')]
    if not ends or len(calm) < COUNT_MIN or not any(calm):
        return 2
    last_s = ends[:COUNTED_CRASHES][-1]
    late = [
        begun
        for name, begun in outcomes.items()
        if name.startswith('sound') and sent_s[name] > last_s + 2 * STABLE_S
    ]
    record.write('calm: begun', sum(calm), 'of', len(calm))
    record.write('late: begun', sum(late), 'of', len(late))
    if len(late) < COUNT_MIN:
        return 2
    broken = sum(late) / len(late) < 0.5 * sum(calm) / len(calm)
    record.write('LOST', 'broken' if broken else 'held')
    return 1 if broken else 0


async def main() -> int:
    """Plays the case in a temporary folder."""
    record = machines.Record(HERE / 'record.txt')
    with machines.temporary_folder() as folder:
        return await play(record, folder)


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
