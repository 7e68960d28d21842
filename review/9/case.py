"""A request makes every server that runs it go dark for some seconds."""

import asyncio
import collections
import pathlib
import time

from aiohttp import web
import fleet as standins

CASE = pathlib.Path(__file__).resolve().parent
MACHINES = 3
SERVERS = 10
# Time for which a server is away after it has ended, in seconds.
AWAY_S = 4.0
STABLE_S = 3.0
DEADLY = '/read/deadly'
# Ends after which arrivals count, and arrivals that the rule allows then.
ENDS_MIN = 3
RETRIES_MAX = 3
# Requests of the caller after that, and the time between two of them in
# seconds.
REPEATS = 8
REPEAT_S = 2.0


class FrailServer(standins.Server):
    """A server that goes dark when it begins to run the deadly request."""

    async def run(
        self, request: web.BaseRequest, request_id: str, body: bytes
    ) -> web.Response:
        if request.raw_path == DEADLY and standins.trouble():
            # It has begun to run the request.
            await asyncio.sleep(0.05)
            self.go_dark(AWAY_S)
        else:
            await asyncio.sleep(0.2)
        if self.up:
            return self.answer(request_id)
        # What it was at is lost; the connection ends when it is back.
        await asyncio.sleep(2.0 * AWAY_S)
        raise ConnectionResetError


class Case:
    """The course of the case."""

    def __init__(self, fleet: standins.Fleet) -> None:
        self.fleet = fleet
        self.servers = fleet.servers
        self.outcomes: collections.Counter[str] = collections.Counter()
        self._number = 0
        self._loading = True

    async def load(self) -> None:
        """Sends sound orders, which must not be repeated, all the time."""
        pending = set()

        async def send(number: int) -> None:
            machine = self.fleet.machines[number % MACHINES]
            attempt, outcome = await self.fleet.send(
                machine, 'POST', f'/order/{number}', body=b'one order'
            )
            self.outcomes[outcome] += 1
            if outcome not in ('200', 'ClientConnectorError'):
                self.fleet.record.write(f'order {attempt}: {outcome}')

        number = 0
        while self._loading:
            task = asyncio.create_task(send(number))
            pending.add(task)
            task.add_done_callback(pending.discard)
            number += 1
            await asyncio.sleep(0.05)
        if pending:
            await asyncio.wait(pending)

    async def send_deadly(self) -> None:
        """Sends the deadly request once, at the next machine."""
        self._number += 1
        machine = self.fleet.machines[self._number % MACHINES]
        attempt, outcome = await self.fleet.send(machine, 'GET', DEADLY)
        self.fleet.record.write(
            f'deadly request {attempt} at machine {machine.number}: {outcome}'
        )

    def ends(self) -> list[float]:
        """Returns the times at which servers ended, in order."""
        return sorted(at_s for server in self.servers for at_s in server.ends)

    def deadly_arrivals(self) -> list[float]:
        """Returns the times at which the deadly request reached servers."""
        return sorted(
            at_s
            for server in self.servers
            for at_s, _, path in server.arrivals
            if path == DEADLY
        )

    async def play(self) -> int:
        """Plays the case and returns the exit code."""
        fleet = self.fleet
        loading = asyncio.create_task(self.load())
        await asyncio.sleep(STABLE_S)
        third_s = time.monotonic()
        for _ in range(REPEATS):
            await self.send_deadly()
            await asyncio.sleep(REPEAT_S)
            if len(self.ends()) >= ENDS_MIN:
                third_s = self.ends()[ENDS_MIN - 1]
                fleet.record.write('three servers have ended')
                break
        in_touch_s = third_s + STABLE_S
        await asyncio.sleep(max(0.0, in_touch_s - time.monotonic()))
        for _ in range(REPEATS):
            await self.send_deadly()
            await asyncio.sleep(REPEAT_S)
        self._loading = False
        await loading
        late = [at_s for at_s in self.deadly_arrivals() if at_s > in_touch_s]
        if len(self.ends()) < ENDS_MIN:
            late = []
        fleet.record.write(f'sound orders: {dict(self.outcomes)}')
        fleet.record.write(
            f'servers that went dark: {len(self.ends())}; the request '
            f'reached servers {len(late)} times from machines in touch, '
            f'later than {STABLE_S:.0f} s after the third end; '
            f'allowed: {RETRIES_MAX}'
        )
        if not self.outcomes['200']:
            raise standins.CaseError('no order was served')
        return int(len(late) > RETRIES_MAX)


async def main() -> int:
    """Runs the case."""
    fleet = standins.Fleet(CASE, MACHINES)
    fleet.servers = [
        FrailServer(fleet, f'i-shop-{n}', 'shop') for n in range(SERVERS)
    ]
    try:
        await fleet.open(
            standins.configuration(
                [
                    standins.route('read', 'idempotent', 'shop', attempts=2),
                    standins.route('order', 'non_idempotent', 'shop'),
                ],
                [
                    {
                        'name': 'shop',
                        'healthPath': '/healthz',
                        'maxConns': 96,
                        'protocol': 'h1',
                        'tls': False,
                    }
                ],
            )
        )
        return await Case(fleet).play()
    except standins.CaseError as exc:
        fleet.record.write(f'the case did not run: {exc}')
        return 2
    finally:
        await fleet.close()


standins.run(main)
