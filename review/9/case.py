"""A server becomes cold again; requests to it are counted by the second."""

import asyncio
import collections
import pathlib
import time

from aiohttp import web
import fleet as standins

CASE = pathlib.Path(__file__).resolve().parent
WARM_UP_S = 10.0
WARM_UP_PER_S = 2.0
COLD_OVER = 1.5
COLD_SLACK = 5.0
# Requests that a cold server may get in one second, by the rule.
REQUESTS_MAX = WARM_UP_PER_S * COLD_OVER + COLD_SLACK
# Requests in one second, as a multiple of that, at which a cold server ends:
# a rate well above what it tolerates.
END_FACTOR = 2.0
# Only seconds that begin this late after the entry was written are judged.
# The rule itself has no such time; configMs of the sheet is as long.
NOTICE_S = 3.0
MACHINES = 6
REQUESTS_PER_S = 90.0
BEFORE_S = 4.0


class ColdServer(standins.Server):
    """A server that can become cold, and ends at too high a rate then."""

    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)
        self.became_cold_s: float | None = None
        self.cold_arrivals_s: list[float] = []

    def become_cold(self) -> None:
        """Becomes cold and says so in its entry."""
        self.became_cold_s = time.monotonic()
        self.cold_until_s = self.became_cold_s + WARM_UP_S
        self.register()
        self.fleet.record.write(
            f'server {self.server_id} is cold again; its entry is written'
        )

    async def run(
        self, request: web.BaseRequest, request_id: str, body: bytes
    ) -> web.Response:
        now_s = time.monotonic()
        if now_s < self.cold_until_s:
            self.cold_arrivals_s.append(now_s)
            recent = sum(now_s - at_s < 1.0 for at_s in self.cold_arrivals_s)
            late = now_s - self.became_cold_s > NOTICE_S + 1.0
            if late and recent > END_FACTOR * REQUESTS_MAX:
                self.fleet.record.write(
                    f'server {self.server_id} got {recent} requests in 1 s'
                )
                self.end(None)
                raise ConnectionResetError
        await asyncio.sleep(0.03)
        return self.answer(request_id)


async def play(fleet: standins.Fleet, servers: list[ColdServer]) -> int:
    """Plays the case and returns the exit code."""
    outcomes: collections.Counter[str] = collections.Counter()
    began_s = time.monotonic()
    cold = servers[0]
    pending = set()

    async def send(number: int) -> None:
        machine = fleet.machines[number % MACHINES]
        attempt, outcome = await fleet.send(
            machine, 'POST', f'/order/{number}', body=b'one order'
        )
        outcomes[outcome] += 1
        if outcome != '200':
            fleet.record.write(f'request {attempt} ends with {outcome}')

    number = 0
    while time.monotonic() - began_s < BEFORE_S + WARM_UP_S:
        if (
            standins.trouble()
            and cold.became_cold_s is None
            and time.monotonic() - began_s >= BEFORE_S
        ):
            cold.become_cold()
        task = asyncio.create_task(send(number))
        pending.add(task)
        task.add_done_callback(pending.discard)
        number += 1
        due_s = began_s + number / REQUESTS_PER_S
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
    if pending:
        await asyncio.wait(pending)
    for server in servers:
        fleet.record.write(
            f'server {server.server_id} got {len(server.arrivals)} requests'
        )
    fleet.record.write(f'answers: {dict(outcomes)}')
    if not outcomes['200']:
        raise standins.CaseError('no request was served')
    if cold.became_cold_s is None:
        fleet.record.write('no server was cold: the rule held')
        return 0
    judged_s = [
        at_s
        for at_s in cold.cold_arrivals_s
        if at_s - cold.became_cold_s >= NOTICE_S
    ]
    for second in range(int(WARM_UP_S)):
        count = sum(
            second <= at_s - cold.became_cold_s < second + 1
            for at_s in cold.cold_arrivals_s
        )
        fleet.record.write(f'second {second} of being cold: {count} requests')
    most = max(
        (
            sum(first_s <= at_s < first_s + 1.0 for at_s in judged_s)
            for first_s in judged_s
        ),
        default=0,
    )
    fleet.record.write(
        f'most in one second, {NOTICE_S:.0f} s after the entry or later: '
        f'{most}; allowed: {REQUESTS_MAX:.0f}'
    )
    return int(most > REQUESTS_MAX)


async def main() -> int:
    """Runs the case."""
    fleet = standins.Fleet(
        CASE,
        MACHINES,
        (f'bounds.coldOver={COLD_OVER}', f'bounds.coldSlack={COLD_SLACK:.0f}'),
    )
    servers = [
        ColdServer(fleet, f'i-ops-{n}', 'station-ops') for n in range(2)
    ]
    fleet.servers = servers
    try:
        await fleet.open(
            standins.configuration(
                [standins.route('order', 'non_idempotent', 'station-ops')],
                [
                    {
                        'name': 'station-ops',
                        'healthPath': '/healthz',
                        'maxConns': 460,
                        'protocol': 'h1',
                        'tls': False,
                        'warmupS': WARM_UP_S,
                        'warmupPerS': WARM_UP_PER_S,
                    }
                ],
            )
        )
        # The servers have started before the traffic and are warm by now.
        await asyncio.sleep(WARM_UP_S + 1.0)
        return await play(fleet, servers)
    except standins.CaseError as exc:
        fleet.record.write(f'the case did not run: {exc}')
        return 2
    finally:
        await fleet.close()


standins.run(main)
