"""In-memory log with faults, and instances that claim keys in it.

Everything runs in virtual time.
"""

import asyncio
import collections
from collections.abc import Callable
import random

import attrs
import pytest
import pytest_asyncio

from dotterelweir_core import errors
from dotterelweir_core import timers
from dotterelweir_logservice import api as platform_api
from dotterelweird.claims import service as claims_service
from dotterelweird.settings import model as settings_model

PLATFORM = settings_model.Platform('http://log', 'http://list')
# Repeats are answered at once, as the cases of test_fault_cases expect; the
# wait for the end of the call in progress is tested in test_repeats.
CLAIMS = settings_model.Claims(repeat_wait_s=0.0)


class PausableTimer(timers.TimerService):
    """Timer of one instance that can be paused.

    Callbacks that fall due during a pause run when it ends.

    Attributes:
        running: Set unless the instance is paused.
    """

    def __init__(self, timer: timers.VirtualTimerService) -> None:
        self._timer = timer
        self._overdue: list[Callable[[], None]] = []
        self.running = asyncio.Event()
        self.running.set()

    def monotonic_s(self):
        return self._timer.monotonic_s()

    def wall_s(self):
        return self._timer.wall_s()

    def call_after(self, delay_s, callback):
        def run():
            if self.running.is_set():
                callback()
            else:
                self._overdue.append(callback)

        return self._timer.call_after(delay_s, run)

    def resume(self):
        """Ends the pause and runs the callbacks that fell due in it."""
        self.running.set()
        overdue, self._overdue = self._overdue, []
        for callback in overdue:
            callback()


class MemoryLog:
    """The streams of the log; each instance has its own ``LogView``.

    Attributes:
        timer: Clock of the log.
        down: Whether the log is unavailable to all instances.
        clock_ahead_s: How far the clock of the log is ahead, in seconds.
        streams: Records by stream.
        first_available: First available offset by stream.
        delayed_appends: Stream and records of the appends that take effect
            in ``apply_delayed_appends``.
    """

    def __init__(self, timer: timers.VirtualTimerService) -> None:
        self.timer = timer
        self.down = False
        self.clock_ahead_s = 0.0
        self.streams = collections.defaultdict(list)
        self.first_available = collections.defaultdict(int)
        self.delayed_appends: list[tuple[str, tuple[bytes, ...]]] = []
        self._waiting_readers: list[asyncio.Future] = []

    def add_records(self, stream, data):
        """Appends records; returns the offset of the first one."""
        stream_records = self.streams[stream]
        first = len(stream_records)
        time_s = self.timer.wall_s() + self.clock_ahead_s
        for offset, item in enumerate(data, first):
            stream_records.append(platform_api.LogRecord(offset, time_s, item))
        self.wake_readers()
        return first

    def apply_delayed_appends(self):
        """Appends the records of all delayed appends."""
        delayed, self.delayed_appends = self.delayed_appends, []
        for stream, data in delayed:
            self.add_records(stream, data)

    def expire(self, stream, first_available):
        """Makes the records before an offset unavailable."""
        self.first_available[stream] = first_available

    def wake_readers(self):
        """Wakes the reads that wait for a record."""
        for future in self._waiting_readers:
            if not future.done():
                future.set_result(None)
        self._waiting_readers.clear()

    async def wait(self, wait_s):
        """Waits for a record, in virtual time."""
        future = asyncio.get_running_loop().create_future()
        self._waiting_readers.append(future)
        handle = self.timer.call_after(
            wait_s, lambda: future.done() or future.set_result(None)
        )
        await future
        handle.cancel()


class LogView(platform_api.LogClient):
    """Connection of one instance to the log.

    Attributes:
        log: The log.
        reachable: Whether requests reach the log.
        faults: Faults of the next appends; None for no fault. ``lost``: the
            append takes effect, but the response is lost; ``late``: it
            takes effect later; ``dropped``: it never takes effect;
            ``limited``: the rate limit of the log rejects it.
        append_times_s: When each append was sent, in monotonic seconds.
    """

    def __init__(self, log: MemoryLog, timer: PausableTimer) -> None:
        self.log = log
        self.reachable = True
        self.faults = collections.deque()
        self.append_times_s = []
        self._timer = timer

    def _check_reachable(self):
        if self.log.down or not self.reachable:
            raise _log_unavailable()

    async def append(self, stream, records, timeout_s):
        self.append_times_s.append(self._timer.monotonic_s())
        self._check_reachable()
        fault = self.faults.popleft() if self.faults else None
        if fault == 'late':
            self.log.delayed_appends.append((stream, records))
        if fault in ('late', 'dropped', 'limited'):
            raise _log_unavailable()
        first = self.log.add_records(stream, records)
        await self._timer.running.wait()
        if fault == 'lost':
            raise _log_unavailable()
        return first, first + len(records) - 1

    async def read(self, stream, from_offset, limit, wait_s):
        self._check_reachable()
        first_available = self.log.first_available[stream]
        if from_offset < first_available:
            raise errors.DotterelweirError(errors.ErrorKind.LOG_GAP)
        stream_records = self.log.streams[stream]
        if from_offset >= len(stream_records) and wait_s > 0.0:
            await self.log.wait(wait_s)
        await self._timer.running.wait()
        self._check_reachable()
        return platform_api.LogPage(
            first_available,
            len(stream_records) and stream_records[-1].offset + 1,
            tuple(
                record
                for record in stream_records
                if record.offset >= from_offset
            )[:limit],
        )


def _log_unavailable() -> errors.DotterelweirError:
    return errors.DotterelweirError(errors.ErrorKind.LOG_UNAVAILABLE)


@attrs.define(eq=False)
class ClaimingInstance:
    """One instance that receives calls.

    Attributes:
        timer: Its timer.
        view: Its connection to the log.
        claims: Its claims service.
        call_handler: Its handler of service calls.
    """

    timer: PausableTimer
    view: LogView
    claims: claims_service.ClaimsService
    call_handler: object

    async def kill(self):
        """Ends it abruptly; queued records are not appended."""
        self.view.reachable = False
        await self.claims.stop(0.0)
        for task in list(self.call_handler.calls._running):
            task.cancel()


@attrs.define(eq=False)
class ClaimsSimulation:
    """Several instances with one log and the same service targets.

    Attributes:
        timer: Virtual time.
        log: The log.
        instances: The instances by name.
        add_instance: Starts another instance.
    """

    timer: timers.VirtualTimerService
    log: MemoryLog
    instances: dict[str, ClaimingInstance]
    add_instance: Callable

    @property
    def services(self):
        """State of each service target."""
        return next(iter(self.instances.values())).call_handler.states

    async def settle(self):
        """Runs all tasks as far as possible without advancing time."""
        for _ in range(60):
            await asyncio.sleep(0)

    async def wait(self, seconds):
        """Advances virtual time in at most 100 steps."""
        end_s = self.timer.monotonic_s() + seconds
        while (left_s := end_s - self.timer.monotonic_s()) > 1e-6:
            await self.settle()
            due_s = self.timer.next_due_s()
            step_s = seconds / 100.0
            if due_s is not None:
                step_s = max(step_s, due_s - self.timer.monotonic_s())
            self.timer.advance(min(left_s, step_s))
        await self.settle()

    async def finish(self, tasks, limit_s=60.0):
        """Advances time until all tasks are done; returns their results."""
        end_s = self.timer.monotonic_s() + limit_s
        while not all(task.done() for task in tasks):
            await self.settle()
            assert self.timer.monotonic_s() < end_s, 'tasks do not end'
            self.timer.advance(0.02)
        return [await task for task in tasks]


@pytest_asyncio.fixture
async def claims_simulation(service_harness):
    """Returns a function that creates a simulation.

    Its positional arguments are the faults of each service target.
    """
    made: list[ClaimsSimulation] = []

    async def make(
        *faults, instances='ab', claims=CLAIMS, platform=PLATFORM
    ) -> ClaimsSimulation:
        timer = timers.VirtualTimerService()
        log = MemoryLog(timer)

        async def add_instance(name, shared=None):
            own_timer = PausableTimer(timer)
            view = LogView(log, own_timer)
            service = claims_service.ClaimsService(
                view, own_timer, random.Random(name), platform, claims
            )
            service.start()
            simulation.instances[name] = ClaimingInstance(
                own_timer,
                view,
                service,
                await service_harness(
                    *(() if shared else faults or ([],)),
                    claims=service,
                    timer=own_timer,
                    shared=shared and shared.call_handler,
                ),
            )
            scheduler = simulation.instances[name].call_handler.scheduler
            scheduler.target_ids = list(
                simulation.instances[name].call_handler.targets
            )

        simulation = ClaimsSimulation(timer, log, {}, add_instance)
        first = None
        for name in instances:
            await add_instance(name, first)
            first = first or simulation.instances[name]
        made.append(simulation)
        await simulation.settle()
        return simulation

    yield make
    for simulation in made:
        for instance in simulation.instances.values():
            await instance.kill()


@attrs.define(eq=False)
class LogSimulation:
    """Virtual time and a log, for tests without service calls."""

    timer: timers.VirtualTimerService
    log: MemoryLog

    def instance(self):
        """Returns the timer and the log connection of a new instance."""
        timer = PausableTimer(self.timer)
        return timer, LogView(self.log, timer)

    async def wait(self, seconds, step_s=0.25):
        """Advances virtual time in steps."""
        end_s = self.timer.monotonic_s() + seconds
        while self.timer.monotonic_s() < end_s - 1e-6:
            for _ in range(30):
                await asyncio.sleep(0)
            self.timer.advance(step_s)
        for _ in range(30):
            await asyncio.sleep(0)


@pytest.fixture
def log_simulation():
    """Returns a simulation with an empty log."""
    timer = timers.VirtualTimerService()
    return LogSimulation(timer, MemoryLog(timer))
