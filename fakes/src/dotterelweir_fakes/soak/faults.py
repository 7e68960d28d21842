"""Random faults of a soak test."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
import random
import signal
import time

import attrs

from dotterelweir_fakes.fleet import deployment as fleet
from dotterelweir_fakes.fleet import engine as fleet_engine
from dotterelweir_fakes.links import rules as links_rules
from dotterelweir_fakes.soak import instances
from dotterelweir_fakes.soak import proxies

# Range of the time between the starts of two faults, in seconds; faults
# overlap.
_INTERVAL_S = (0.2, 1.2)
# Range of the duration of a fault, in seconds.
_DURATION_S = (0.3, 2.5)
# Prefix of the name of an instance's link to the store; the number of the
# instance follows.
STORE_LINK = 'store-'
# Largest error of the wall clock of a restarted instance, in seconds.
_MAX_SKEW_S = 120.0
_HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Upstream-Seal: seal\r\n'
    b'X-Attempt-Id: REQUEST\r\nContent-Type: text/plain\r\n'
)
# Heads that end inside the status line, a field, after all fields.
_PARTS_OF_HEAD = (_HEAD[:12], _HEAD[:-4], _HEAD)
_FAULTY_BEHAVIOURS = (
    {'refuse': True},
    {'status': 500},
    {'status': 503},
    {'sealed': False},
    {'extra': True},
    {'cut_after': 3},
    {'silent_after': 2},
    {'unframed': True},
    {'hang': True},
    {'event_s': 0.1},
    {'has_copies': False},
    {'refuse': True, 'retry_after': '0.8'},
    {'leaving': True},
    {'close_unanswered': True},
    *({'raw': part} for part in _PARTS_OF_HEAD),
    {'refusal_id': 'another-request'},
    # Preempted streams, and calls to stop them that get no answer.
    *2
    * (
        {
            'pause_after': 4,
            'pause_s': 1.4,
            'hang_moves': True,
            'keeps_running': True,
        },
    ),
    # Bytes without end: in a line, fields, interim answers, bodies, chunks.
    {'raw': _HEAD, 'flood': b'X-Long: aaaaaaaaaaaaaaaa'},
    {'raw': _HEAD, 'flood': b'X-Field: value\r\n'},
    {'raw': b'\x00', 'flood': b'\xff'},
    {'raw': b'', 'flood': b'HTTP/1.1 100 Continue\r\n\r\n'},
    {'raw': _HEAD + b'\r\n', 'flood': b'bytes'},
    {
        'raw': _HEAD + b'Transfer-Encoding: chunked\r\n\r\n4;',
        'flood': b'extension',
    },
    {'refusal_id': 'another-request', 'refusal_status': 421},
)


@attrs.define
class FaultInjector:
    """Injects random faults until it is cancelled.

    Attributes:
        rng: Random source; its seed determines the sequence of faults.
        nodes: Gateway instances and their processes.
        engines: Engines by name.
        store: Stand-in for the store.
        rules: Rules of the proxies before engines and the store.
        engine_proxies: Proxies before the engines, by name.
        mark_disturbed: Marks the runs in progress at an engine as
            disturbed, so that they are exempt from the overlap check.
        register: Writes the registry entry of an engine, with a state, to
            the store.
        trace: Writes a line to the log of faults.
        counts: Number of injected faults by kind. A kind is the name of its
            method without the underscore.
    """

    rng: random.Random
    nodes: list[instances.Instance]
    engines: dict[str, fleet_engine.FakeEngine]
    store: object
    rules: links_rules.Rules
    engine_proxies: dict[str, proxies.BackendProxy]
    mark_disturbed: Callable[[str], None]
    register: Callable[[str, str], Awaitable[None]]
    trace: Callable[[str], None]
    counts: dict[str, int] = attrs.field(factory=dict)
    _version: int = 1
    _tasks: set[asyncio.Task] = attrs.field(factory=set)

    async def run(self) -> None:
        """Starts faults at random times; they may overlap."""
        kinds = (
            self._kill,
            self._terminate,
            self._pause,
            self._reload,
            self._series,
            self._link,
            # There are more kinds of misbehaviour than of all other faults.
            *3 * (self._misbehave,),
            self._leave,
            self._overload,
            self._crash,
            self._store,
            self._configure,
        )
        try:
            while True:
                await asyncio.sleep(self.rng.uniform(*_INTERVAL_S))
                kind = self.rng.choice(kinds)
                name = kind.__name__.lstrip('_')
                self.counts[name] = self.counts.get(name, 0) + 1
                self.trace(name)
                self.start(self._inject(kind))
        finally:
            for task in list(self._tasks):
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            for node in self.nodes:
                node.send_signal(signal.SIGCONT)

    def start(self, fault: Coroutine) -> None:
        """Starts a fault that is cancelled with the injector."""
        task = asyncio.create_task(fault)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _inject(self, kind: Callable[[], Awaitable[None]]) -> None:
        self._disturb_instances(kind)
        try:
            await kind()
        finally:
            self._disturb_instances(kind)

    def _disturb_instances(self, kind: Callable) -> None:
        if kind in (self._link, self._store):
            for node in self.nodes:
                node.disturbed_s = asyncio.get_running_loop().time()

    async def _wait_duration(self) -> None:
        await asyncio.sleep(self.rng.uniform(*_DURATION_S))

    async def _kill(self) -> None:
        for node in self.rng.sample(self.nodes, self.rng.choice((1, 1, 2))):
            node.send_signal(signal.SIGKILL)
        await self._restart_ended()

    async def _terminate(self) -> None:
        node = self.rng.choice(self.nodes)
        process = node.process
        node.send_signal(signal.SIGTERM)
        await asyncio.sleep(instances.GRACE_S + 0.5)
        # The platform kills what remains after the grace period.
        process.kill()
        await self._restart_ended()

    async def _restart_ended(self) -> None:
        await asyncio.sleep(self.rng.uniform(0.1, 0.8))
        for node in self.nodes:
            if not node.running:
                skewed = self.rng.random() < 0.3
                node.start(
                    self.rng.uniform(-_MAX_SKEW_S, _MAX_SKEW_S)
                    if skewed
                    else 0.0
                )

    async def _pause(self) -> None:
        node = self.rng.choice(self.nodes)
        for engine_id in self.engines:
            self.mark_disturbed(engine_id)
        node.send_signal(signal.SIGSTOP)
        try:
            await self._wait_duration()
        finally:
            node.send_signal(signal.SIGCONT)

    async def _series(self) -> None:
        """Starts several faults in quick succession."""
        kinds = (
            self._kill,
            self._terminate,
            self._pause,
            self._reload,
            self._configure,
        )
        for _ in range(self.rng.randint(3, 6)):
            kind = self.rng.choice(kinds)
            self.trace(f'series: {kind.__name__}')
            self.start(kind())
            await asyncio.sleep(self.rng.uniform(0.0, 0.15))

    async def _reload(self) -> None:
        self.rng.choice(self.nodes).send_signal(signal.SIGHUP)

    async def _link(self) -> None:
        store_links = [f'{STORE_LINK}{node.number}' for node in self.nodes]
        name = self.rng.choice([*self.engines, self.rng.choice(store_links)])
        self.mark_disturbed(name)
        match self.rng.choice(('cut', 'stall', 'one way', 'delay')):
            case 'cut':
                self.rules.cut('caller', name)
            case 'stall':
                self.rules.stall('caller', name)
            case 'one way':
                self.rules.stall_one_way(name, 'caller')
            case 'delay':
                self.rules.delay('caller', name, self.rng.uniform(0.02, 0.2))
        await self._wait_duration()
        self.mark_disturbed(name)
        self.rules.heal()

    async def _misbehave(self) -> None:
        name = self.rng.choice(list(self.engines))
        engine = self.engines[name]
        fault = self.rng.choice(_FAULTY_BEHAVIOURS)
        self.trace(f'{name}: {fault}')
        normal = engine.behaviour
        engine.behaviour = attrs.evolve(normal, **fault)
        try:
            await self._wait_duration()
        finally:
            engine.behaviour = fleet_engine.Behaviour(
                events=normal.events, event_s=0.02
            )
            if 'leaving' in fault:
                # Gateways use an engine that announced its departure again
                # only after its restart.
                engine.started_ms += 1
                await self.register(name, 'ready')

    async def _overload(self) -> None:
        """Lets an engine ask for pauses that it extends, while one crashes."""
        name, other = self.rng.sample(list(self.engines), 2)
        engine = self.engines[name]
        normal = engine.behaviour
        self.start(self.crash(other))
        for pause_s in ('0.7', '1.6', '2.4'):
            engine.behaviour = attrs.evolve(
                normal, refuse=True, retry_after=pause_s
            )
            await asyncio.sleep(self.rng.uniform(0.2, 0.6))
        engine.behaviour = normal

    async def _crash(self) -> None:
        await self.crash(self.rng.choice(list(self.engines)))

    async def crash(self, name: str) -> None:
        """Restarts an engine under its id and address after a crash."""
        self.trace(f'{name}: crashes')
        self.mark_disturbed(name)
        self.engines[name].started_ms = int(1000 * time.time())
        self.engine_proxies[name].refuse()
        self.rules.cut('caller', name)
        await self._wait_duration()
        self.rules.heal()
        await self.engine_proxies[name].accept_again()
        await self.register(name, 'ready')

    async def _leave(self) -> None:
        name = self.rng.choice(list(self.engines))
        await self.register(name, 'draining')
        await self._wait_duration()
        self.mark_disturbed(name)
        await self.register(name, 'ready')

    async def _store(self) -> None:
        fault = self.rng.choice(
            ('failing', 'silent', 'expire', 'few', 'rewind')
        )
        if fault == 'few':
            await self._cut_some_store_links()
            return
        if fault == 'rewind':
            await self._rewind_store()
            return
        if fault == 'expire':
            for topic in ('keyed.op', 'keyed.servers'):
                self.store.expire(topic)
            return
        setattr(self.store, fault, True)
        try:
            await self._wait_duration()
        finally:
            setattr(self.store, fault, False)

    async def _rewind_store(self) -> None:
        """Restores the store from a backup that lacks the newest writes.

        Afterwards the tables and the entries of all engines are written
        again.
        """
        self.store.back_up()
        await self._wait_duration()
        self.store.rewind()
        self._disturb_instances(self._store)
        await self._wait_duration()
        await self._write_tables()
        for name in self.engines:
            await self.register(name, 'ready')

    async def _cut_some_store_links(self) -> None:
        """Cuts the links of half of the instances to the store."""
        names = [
            f'{STORE_LINK}{node.number}'
            for node in self.rng.sample(self.nodes, len(self.nodes) // 2)
        ]
        for name in names:
            self.rules.cut('caller', name)
        await self._wait_duration()
        self.rules.heal()

    async def _configure(self) -> None:
        self._version += self.rng.randint(1, 3)
        await self._write_tables()

    async def _write_tables(self) -> None:
        await self.store.write_json(
            'keyed.op',
            'config',
            fleet.configuration(
                self._version, timeoutMs=self.rng.choice((2500, 3000, 4000))
            ),
        )
