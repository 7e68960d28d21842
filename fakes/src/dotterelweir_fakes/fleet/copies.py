"""Copies of runs between engines: links, handles, and kept copies."""

import asyncio
from collections.abc import Callable
import functools
import random
import typing

import attrs

if typing.TYPE_CHECKING:
    from dotterelweir_fakes.fleet import engine as fleet_engine


@attrs.define
class MoveAnswer:
    """An answer to an order to copy a run.

    Attributes:
        status: HTTP status.
        handle: Handle of the copy, or of the memory at a source that stopped
            the run; empty for none.
        created: Number of events of the run.
    """

    status: int
    handle: str = ''
    created: int = 0


@attrs.define(eq=False)
class _Memory:
    """Memory of a run: a copy, or what a source keeps after a stop.

    Attributes:
        request_id: The request.
        handles: Handles that name it.
        orders: Number of orders in progress that write it.
        expires_s: Time on the event loop's clock after which it is dropped
            unless an order is in progress, in seconds; None for never.
    """

    request_id: str
    handles: set[str] = attrs.field(factory=set)
    orders: int = 0
    expires_s: float | None = None

    def is_held(self, now_s: float) -> bool:
        """Returns whether it has not expired."""
        if self.orders or self.expires_s is None:
            return True
        return now_s < self.expires_s


class CopyNetwork:
    """The engines of one run and the links between them.

    Attributes:
        repeat_share: Duration of a repeated copy of a run to the same
            destination, as a share of the duration of a first copy.
        handle_s: Time after which an unused copy is dropped, in seconds.
        rng: Source of the durations and of the refusals.
    """

    def __init__(
        self, seed: int, repeat_share: float = 0.25, handle_s: float = 30.0
    ) -> None:
        self.repeat_share = repeat_share
        self.handle_s = handle_s
        self.rng = random.Random(seed)
        self._copies: list[EngineCopies] = []
        self._aliases: dict[str, EngineCopies] = {}
        self._handles = 0
        # The event loop holds only weak references to tasks.
        self._tasks: set[asyncio.Task] = set()

    def add(self, engine: 'fleet_engine.FakeEngine') -> 'EngineCopies':
        """Connects an engine; it is found by its address once it listens."""
        copies = EngineCopies(self, engine)
        self._copies.append(copies)
        return copies

    def add_address(self, address: str, copies: 'EngineCopies') -> None:
        """Adds another address of an engine, as that of a proxy before it."""
        self._aliases[address] = copies

    def find(self, address: str) -> 'EngineCopies | None':
        """Returns the copies of the engine at an address; None for none."""
        if address in self._aliases:
            return self._aliases[address]
        # An address may be that of an earlier engine.
        for copies in reversed(self._copies):
            if copies.engine.address == address and copies.engine.is_up:
                return copies
        return None

    @property
    def order_count(self) -> int:
        """Number of orders to copy a run that began."""
        return self._handles

    def new_handle(self) -> str:
        """Returns a handle that no other order has received."""
        self._handles += 1
        return f'h{self._handles}'

    def run_order(self, task: asyncio.Task) -> None:
        """Keeps a task that copies a run until it is done."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class EngineCopies:
    """The link of one engine and the memory of runs that it holds.

    Attributes:
        engine: The engine.
        free_s: Time on the event loop's clock from which its link is free,
            in seconds.
        incarnation: Number of times that it has lost its memory.
    """

    def __init__(
        self, network: CopyNetwork, engine: 'fleet_engine.FakeEngine'
    ) -> None:
        self.engine = engine
        self.free_s = 0.0
        self.incarnation = 0
        self._network = network
        # Runs with an order in progress.
        self._ordered: set[str] = set()
        # Copies by address of the source and request.
        self._held: dict[tuple[EngineCopies, str], _Memory] = {}
        # Memory of the runs that it stopped, by request.
        self._stopped: dict[str, _Memory] = {}
        # Handles of the orders about each of its runs, by request.
        self._run_handles: dict[str, set[str]] = {}
        # Destination and request of its orders, by handle; the destination
        # is None without a copy.
        self._orders: dict[str, tuple[EngineCopies | None, str]] = {}
        # Copies that sources keep here while they run, by request.
        self._kept: dict[str, _Memory] = {}

    @property
    def is_copying(self) -> bool:
        """Whether an order to copy one of its runs is in progress."""
        return bool(self._ordered)

    @property
    def slots_used(self) -> int:
        """Number of copies of other engines that it holds."""
        self._drop_expired()
        return len(self._held)

    def clear(self) -> None:
        """Drops everything, as when the engine ends."""
        self.incarnation += 1
        self.free_s = 0.0
        self._ordered.clear()
        self._held.clear()
        self._stopped.clear()
        self._run_handles.clear()
        self._orders.clear()
        self._kept.clear()

    # As the source of a run.

    async def move(self, request_id: str, to: str, last: bool) -> MoveAnswer:
        """Copies a run and returns once the copy is complete.

        The copy goes on when the caller is cancelled.

        Args:
            request_id: The request.
            to: Address of the destination.
            last: Whether the run stops first.
        """
        if request_id in self._ordered:
            return MoveAnswer(409)
        if not self.engine.can_move(request_id):
            return MoveAnswer(404)
        # The stream of a run that is stopped may end before the copy begins.
        created = self.engine.events_made(request_id)
        handle = self._network.new_handle()
        self._ordered.add(request_id)
        if last:
            self.engine.stop_run(request_id)
            handles = self._run_handles.setdefault(request_id, set())
            handles.add(handle)
            self._orders[handle] = (None, request_id)
            self._stopped[request_id] = _Memory(request_id, handles, orders=1)
        task = asyncio.create_task(
            self._order(request_id, to, last, handle, created)
        )
        self._network.run_order(task)
        return await asyncio.shield(task)

    async def _order(
        self, request_id: str, to: str, last: bool, handle: str, created: int
    ) -> MoveAnswer:
        incarnation = self.incarnation
        is_complete = await self._copy(request_id, to, handle)
        if self.incarnation != incarnation:
            return MoveAnswer(503)
        self._ordered.discard(request_id)
        if last:
            memory = self._stopped.get(request_id)
            if memory is not None:
                memory.orders -= 1
                memory.expires_s = _now_s() + self._network.handle_s
        else:
            created = max(created, self.engine.events_made(request_id))
        if is_complete:
            return MoveAnswer(200, handle, created)
        return MoveAnswer(503, handle if last else '')

    async def _copy(self, request_id: str, to: str, handle: str) -> bool:
        """Copies a run over both links.

        Returns:
            Whether the destination holds the complete copy.
        """
        target = self._network.find(to)
        if target is None or target is self or not target.engine.is_up:
            return False
        memory, is_repeated = target._reserve(self, request_id)
        if memory is None:
            return False
        incarnations = (self.incarnation, target.incarnation)
        duration_s = self._network.rng.uniform(*self.engine.behaviour.copy_s)
        if is_repeated:
            duration_s *= self._network.repeat_share
        end_s = max(_now_s(), self.free_s, target.free_s) + duration_s
        self.free_s = target.free_s = end_s
        await _sleep_until(end_s)
        memory.orders -= 1
        memory.expires_s = _now_s() + self._network.handle_s
        key = (self, request_id)
        source_lost = self.incarnation != incarnations[0]
        if source_lost and not memory.handles:
            target._drop(key, memory)
        if source_lost or not target.engine.is_up:
            return False
        if target._held.get(key) is not memory:
            return False
        memory.handles.add(handle)
        self._run_handles.setdefault(request_id, set()).add(handle)
        self._orders[handle] = (target, request_id)
        return True

    # As the destination.

    def _reserve(
        self, source: 'EngineCopies', request_id: str
    ) -> tuple[_Memory | None, bool]:
        """Reserves room for a copy.

        Returns:
            The memory, None if there is no room; and whether it has a copy
            of this run.
        """
        behaviour = self.engine.behaviour
        if self._network.rng.random() < behaviour.copy_full_share:
            return None, False
        self._drop_expired()
        key = (source, request_id)
        memory = self._held.get(key)
        if memory is not None:
            memory.orders += 1
            return memory, True
        slots = behaviour.copy_slots
        if slots is not None and len(self._held) >= slots:
            return None, False
        memory = self._held[key] = _Memory(request_id, orders=1)
        return memory, False

    def _drop(self, key: tuple['EngineCopies', str], memory: _Memory) -> None:
        if self._held.get(key) is memory:
            del self._held[key]

    def _drop_expired(self) -> None:
        now_s = _now_s()
        for memories in (self._held, self._stopped, self._kept):
            for key, memory in list(memories.items()):
                if not memory.is_held(now_s):
                    del memories[key]

    # Use and release.

    def take(self, request_id: str, value: str) -> bool:
        """Uses what a request names in ``Kv-From``, if it is here.

        Args:
            request_id: The request.
            value: Value of the header.

        Returns:
            Whether the engine has the copy or the memory; both ends are
            free afterwards.
        """
        self._drop_expired()
        address, _, name = value.partition('/')
        for key, memory in list(self._held.items()):
            source, held_id = key
            if held_id != request_id or name not in memory.handles:
                continue
            if source._is_at(address):
                del self._held[key]
                source._forget(request_id)
                return True
        if not self._is_at(address):
            return False
        if name == request_id and name in self._kept:
            del self._kept[name]
            return True
        memory = self._stopped.get(request_id)
        if memory is None or name not in memory.handles:
            return False
        target, _ = self._orders.get(name, (None, ''))
        if target is not None:
            target._held.pop((self, request_id), None)
        self._forget(request_id)
        return True

    def _is_at(self, address: str) -> bool:
        return (
            self.engine.address == address
            or self._network.find(address) is self
        )

    def _forget(self, request_id: str) -> None:
        """Drops the memory of a run that goes on from a copy or from here."""
        self._stopped.pop(request_id, None)
        self._run_handles.pop(request_id, None)

    def release(self, handle: str) -> None:
        """Frees what a handle names; at the source, both ends.

        A copy that other handles name as well is freed with the last.
        """
        target, request_id = self._orders.pop(handle, (None, ''))
        if target is not None:
            target._release_held((self, request_id), handle)
        handles = self._run_handles.get(request_id, set())
        handles.discard(handle)
        memory = self._stopped.get(request_id)
        if memory is not None and not handles and not memory.orders:
            del self._stopped[request_id]
        for key in list(self._held):
            self._release_held(key, handle)

    def _release_held(
        self, key: tuple['EngineCopies', str], handle: str
    ) -> None:
        memory = self._held.get(key)
        if memory is None or handle not in memory.handles:
            return
        memory.handles.discard(handle)
        if not memory.handles and not memory.orders:
            del self._held[key]

    # Kept copies.

    def keep(
        self, request_id: str, backup: str
    ) -> Callable[[bool], None] | None:
        """Keeps a copy of a run at another engine, up to date from now on.

        Args:
            request_id: The request.
            backup: Address of the other engine.

        Returns:
            What to call when no more of the run is sent there, with whether
            it has ended successfully; None if the engine can't be reached.
        """
        target = self._network.find(backup)
        if target is None or target is self or not target.engine.is_up:
            return None
        memory = target._kept[request_id] = _Memory(request_id)
        return functools.partial(target._end_kept, memory)

    def _end_kept(self, memory: _Memory, is_complete: bool) -> None:
        memory.expires_s = _now_s() + self._network.handle_s
        if is_complete and self._kept.get(memory.request_id) is memory:
            del self._kept[memory.request_id]


async def _sleep_until(time_s: float) -> None:
    delay_s = time_s - _now_s()
    if delay_s > 0:
        await asyncio.sleep(delay_s)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
