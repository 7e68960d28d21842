"""Machines with stale seeds: the limit of a server is kept by none of them."""

import asyncio
import collections
import pathlib
import signal
import time

from aiohttp import web
import fleet as standins

CASE = pathlib.Path(__file__).resolve().parent
# Requests a second that the server takes from all machines together.
LIMIT_PER_S = 5.0
SPAN_S = 4.0
STABLE_S = 3.0
KNOWN_S = 0.5
# Requests that the rule allows in any span.
REQUESTS_MAX = 1.5 * LIMIT_PER_S * SPAN_S + 5
REQUESTS_PER_S = 60.0
# Time of the traffic before the server is in need, and while it is.
BEFORE_S = 3.0
NEED_S = 15.0
REPLACED = 3
# Time by which seeds may lag, in seconds.
SEED_LAG_S = 3.0


class NeedyServer(standins.Server):
    """A server that can be in need; it then names its limit in all answers."""

    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)
        self.need_s: float | None = None
        # Time and id of each answer that names the limit.
        self.named: list[tuple[float, str]] = []

    async def run(
        self, request: web.BaseRequest, request_id: str, body: bytes
    ) -> web.Response:
        await asyncio.sleep(0.03)
        answer = self.answer(request_id)
        if self.need_s is not None:
            answer.headers['Server-Limit'] = str(LIMIT_PER_S)
            self.named.append((time.monotonic(), request_id))
        return answer


async def play(fleet: standins.Fleet, needy: NeedyServer) -> int:
    """Plays the case and returns the exit code."""
    outcomes: collections.Counter[str] = collections.Counter()
    machine_of: dict[str, int] = {}
    pending = set()
    began_s = time.monotonic()

    async def send(number: int) -> None:
        machine = fleet.machines[number % len(fleet.machines)]
        attempt, outcome = await fleet.send(
            machine, 'POST', f'/order/{number}', body=b'one order'
        )
        machine_of[attempt] = machine.number
        outcomes[outcome] += 1

    number = 0
    while time.monotonic() - began_s < BEFORE_S + NEED_S:
        if needy.need_s is None and time.monotonic() - began_s >= BEFORE_S:
            needy.need_s = time.monotonic()
            fleet.record.write(
                f'server {needy.server_id} names its limit of '
                f'{LIMIT_PER_S:.0f} a second from now on'
            )
        task = asyncio.create_task(send(number))
        pending.add(task)
        task.add_done_callback(pending.discard)
        number += 1
        due_s = began_s + number / REQUESTS_PER_S
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
    if pending:
        await asyncio.wait(pending)
    fleet.record.write(f'answers: {dict(outcomes)}')
    if not outcomes['200'] or not needy.named:
        raise standins.CaseError('no limit was named')
    first_s = needy.named[0][0]
    known_s: dict[int, float] = {}
    for at_s, attempt in needy.named:
        known_s.setdefault(machine_of[attempt], at_s)
    counted = [
        at_s
        for at_s, attempt, _ in needy.arrivals
        if at_s >= first_s + STABLE_S
        and at_s >= known_s.get(machine_of[attempt], at_s) + KNOWN_S
    ]
    by_machine = collections.Counter(
        machine_of[attempt]
        for at_s, attempt, _ in needy.arrivals
        if at_s >= first_s + STABLE_S
    )
    fleet.record.write(
        f'arrivals later than {STABLE_S:.0f} s after that, by machine: '
        f'{dict(sorted(by_machine.items()))}'
    )
    most = max(
        (
            sum(start_s <= at_s < start_s + SPAN_S for at_s in counted)
            for start_s in counted
        ),
        default=0,
    )
    fleet.record.write(
        f'most in {SPAN_S:.0f} s: {most}; allowed: {REQUESTS_MAX:.0f}'
    )
    return int(most > REQUESTS_MAX)


async def main() -> int:
    """Runs the case."""
    fleet = standins.Fleet(CASE, 6)
    needy = NeedyServer(fleet, 'i-shop-0', 'shop')
    fleet.servers = [needy]
    try:
        await fleet.open(
            standins.configuration(
                [standins.route('order', 'non_idempotent', 'shop')],
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
        await asyncio.sleep(3.0)
        removed = fleet.machines[:REPLACED]
        remaining = fleet.machines[REPLACED:]
        await fleet.remove(removed)
        seeds = removed if standins.trouble() else remaining
        added = [fleet.add(seeds) for _ in range(REPLACED)]
        await fleet.wait_ready()
        await asyncio.sleep(SEED_LAG_S)
        for machine in added:
            machine.seeds = remaining
            machine.write_settings()
            machine.signal(signal.SIGHUP)
        fleet.record.write('their settings name live seeds; SIGHUP')
        await asyncio.sleep(7.0)
        return await play(fleet, needy)
    except standins.CaseError as exc:
        fleet.record.write(f'the case did not run: {exc}')
        return 2
    finally:
        await fleet.close()


standins.run(main)
