"""A preempted stream is continued elsewhere while its engine still works.

The engine preempts the stream for a while, as engines do, and fails one
request: the call that shall stop the stream hangs.
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
ENGINES = 7
STREAMS = 21
EVENTS = 160
# Event after which one stream of an engine is preempted, and for how long.
PREEMPTED_AFTER = 40
PREEMPTED_S = 1.6
# Time for which two engines may work on one request.
BOTH_S = 0.4


class Grey(engines.Engine):
    """Preempts a stream, and may work on when its caller has closed.

    Attributes:
        drops: Whether it drops a request when its connection closes; most
            engines do.
        victim: Id of the request that is preempted once.
        hangs: Whether the next call that moves a run hangs.
        works: Begin and end of the work on each request.
    """

    drops = True
    victim = ''
    hangs = False
    works: list

    async def _control(self, request: http_io.Message) -> tuple[int, dict]:
        if self.hangs and request.path == '/-/kv-move':
            self.hangs = False
            self.record.write(self.engine_id, 'hangs in', request.body)
            await asyncio.sleep(30.0)
        return await super()._control(request)

    async def run(
        self,
        request: http_io.Message,
        request_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        work = [
            request_id,
            self.record.now_s(),
            None,
            'kv-from' in request.headers,
        ]
        self.works.append(work)
        if work[3]:
            self.record.write(self.engine_id, 'goes on with', request_id)
        try:
            if self.drops:
                await super().run(request, request_id, reader, writer)
                return
            self.ran.append((work[1], request_id))
            self.record.write(self.engine_id, 'runs', request_id)
            self.running += 1
            try:
                await self._answer(request, request_id, writer)
            finally:
                self.running -= 1
        finally:
            work[2] = self.record.now_s()
            self.record.write(self.engine_id, 'ends work on', request_id)

    async def _answer(
        self,
        request: http_io.Message,
        request_id: str,
        writer: asyncio.StreamWriter,
    ) -> None:
        await asyncio.sleep(self.work_s)
        rows = ['HTTP/1.1 200 OK', 'Transfer-Encoding: chunked']
        rows.append('Content-Type: text/event-stream')
        headers = self.headers(request_id)
        rows += [f'{name}: {value}' for name, value in headers.items()]
        writer.write('\r\n'.join(rows).encode() + b'\r\n\r\n')
        first = 1 + int(request.headers.get('last-event-id', '0'))
        run = self.runs[request_id] = engines.Run(800, first - 1)
        for number in range(first, EVENTS + 1):
            if request_id == self.victim and number == PREEMPTED_AFTER:
                self.record.write(self.engine_id, 'preempts', request_id)
                end_s = self.record.now_s() + PREEMPTED_S
                while self.record.now_s() < end_s and not run.stopped:
                    await asyncio.sleep(0.02)
                if not run.stopped:
                    self.record.write(self.engine_id, 'resumes', request_id)
            if run.stopped:
                self.record.write(self.engine_id, 'stops', request_id)
                raise ConnectionResetError
            event = b'id: %d\ndata: token %d\n\n' % (number, number)
            if not writer.is_closing():
                writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            run.made = number
            self._back_up(request, request_id, number)
            await asyncio.sleep(self.event_s)
        writer.write(b'0\r\n\r\n')
        self.runs.pop(request_id, None)


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
        'X-Token-Usage': '800,640',
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
    servers = [
        Grey(f'e{n}', 'model', machines.address(101 + n), store, record)
        for n in range(ENGINES)
    ]
    for server in servers:
        server.works = []
        await server.start()
    servers[0].drops = False
    fronts = [
        machines.Machine(n, store.address, record, folder) for n in (1, 2)
    ]
    outcomes: dict[str, str] = {}
    try:
        for machine in fronts:
            machine.start()
        for machine in fronts:
            if not await machine.wait_ready():
                return 2
        await asyncio.sleep(STABLE_S + 0.5)
        tasks = [
            asyncio.create_task(
                send(fronts[0], record, f'guide-{n}', outcomes)
            )
            for n in range(STREAMS)
        ]
        await asyncio.sleep(0.5)
        grey = servers[0]
        if not grey.ran:
            return 2
        grey.victim = grey.ran[-1][1]
        grey.hangs = TROUBLE
        for number in range(16):
            await asyncio.sleep(0.4)
            name = f'new-{number}'
            tasks.append(
                asyncio.create_task(send(fronts[0], record, name, outcomes))
            )
        await asyncio.wait(tasks, timeout=25)
        await asyncio.sleep(1.0)
    finally:
        for machine in fronts:
            machine.end()
        for server in servers:
            server.crash()
        store.close()
    return judge(record, grey, servers, outcomes)


def judge(
    record: machines.Record,
    grey: Grey,
    servers: list[Grey],
    outcomes: dict[str, str],
) -> int:
    """Applies the rule to the work of the engines."""
    whole = sum(
        outcome.startswith('200 whole') for outcome in outcomes.values()
    )
    record.write('whole streams:', whole, 'of', len(outcomes))
    if not whole:
        return 2
    broken = False
    now_s = record.now_s()
    for server in servers:
        for request_id, begin_s, _, resumed in server.works:
            if not resumed:
                continue
            for other in servers:
                for row in other.works:
                    end_s = row[2] or now_s
                    if other is server or row[0] != request_id:
                        continue
                    if row[1] < begin_s and end_s > begin_s + BOTH_S:
                        broken = True
                        record.write(
                            request_id,
                            'goes on at',
                            server.engine_id,
                            'and',
                            other.engine_id,
                            'works on it for',
                            round(end_s - begin_s, 2),
                            's longer',
                        )
    served = [r for at_s, r in grey.ran if r.startswith('new')]
    record.write('the machine reaches', grey.engine_id, 'with', served)
    record.write('TWICE', 'broken' if broken else 'held')
    return 1 if broken else 0


async def main() -> int:
    """Plays the case in a temporary folder."""
    record = machines.Record(HERE / 'record.txt')
    with machines.temporary_folder() as folder:
        return await play(record, folder)


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
