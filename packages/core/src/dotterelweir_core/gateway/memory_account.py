"""Account of the memory and the connections that callers make a process hold.

Load: clients that nobody controls. They send bodies of the largest size, many
at once, and stop before the end; they send requests ahead and read no answers;
they open connections and send nothing. Machines have 88 to 552 MB. Ordinary
requests have a few KB and must be served meanwhile, and so must a single body
of 4 MiB on the smallest machine.

Bytes are charged before they are held: a body by its announced length, a body
without a length, an answer and a stream as they grow. A charge that does not
fit is refused, so the bound holds at every moment.
"""

import collections
from collections.abc import Callable
import enum

import attrs

# Memory that a process uses without callers, in bytes. The program takes 45 MB
# once it has read its tables; the rest is for targets, peers and logs.
PROGRAM_BYTES = 50_000_000
# Share of the memory of a process that may be used. The allocator does not
# return all that is freed.
_USABLE_SHARE = 0.8
# Smallest account, in bytes: one body of 4 MiB within the share of a caller.
_TOTAL_BYTES_MIN = 12_000_000
# A connection that holds no more than this is never refused for the sake of
# the reserve, in bytes. Ordinary requests and answers have a few KB.
SMALL_BYTES = 65_536
# Share of the account that larger ones may not use.
_RESERVE_SHARE = 0.25
# Share of the rest that one address may use. Callers behind one balancer have
# one address, so it must allow most of it.
_CALLER_SHARE = 0.75
# Memory of a connection with its task, its parser and what is read before a
# request is admitted, in bytes.
CONNECTION_BYTES = 49_152
# Memory of a request in progress with its connection to a target and one read
# of it, in bytes.
REQUEST_BYTES = 32_768
# Share of the account that all connections may use by themselves.
_CONNECTIONS_SHARE = 0.5
# Descriptors that the platform reserves for files.
RESERVED_FDS = 200
# Share of the other descriptors that callers may use. A request in progress
# needs one for its caller and one for its target.
_CALLER_FDS_SHARE = 0.5
# Time without progress after which a connection gives way to others, in
# seconds. A lost packet is sent again sooner.
STALLED_S = 1.0


class Verdict(enum.Enum):
    """Decision about a charge.

    The value is the name of the reason in logs and counters.
    """

    GRANTED = 'granted'
    CALLER_FULL = 'share of the caller'
    FULL = 'account full'


class Phase(enum.Enum):
    """What a connection waits for."""

    IDLE = enum.auto()
    COLLECTING = enum.auto()
    RUNNING = enum.auto()
    WRITING = enum.auto()


@attrs.define(eq=False)
class Holding:
    """What one connection holds.

    Attributes:
        caller: IP address of the caller.
        give_way: Called when the connection has to free its memory.
        held_bytes: Bytes that are charged to it, without the connection
            itself.
        phase: What it waits for.
        progress_s: Monotonic time of its last progress, in seconds.
        closed: Whether the connection has ended.
        exceeded: Whether a charge to it was refused.
    """

    caller: str
    give_way: Callable[[], None]
    held_bytes: int = 0
    phase: Phase = Phase.IDLE
    progress_s: float = 0.0
    closed: bool = False
    exceeded: bool = False

    @property
    def is_large(self) -> bool:
        """Whether it may not use the reserve."""
        return self.held_bytes > SMALL_BYTES

    def is_stalled(self, now_s: float) -> bool:
        """Whether its caller neither sends nor reads.

        Args:
            now_s: Monotonic time, in seconds.
        """
        return (
            self.phase in (Phase.COLLECTING, Phase.WRITING)
            and now_s - self.progress_s >= STALLED_S
        )


def total_bytes(memory_bytes: int) -> int:
    """Returns the size of the account of a process, in bytes.

    Args:
        memory_bytes: Memory of the process.
    """
    usable_bytes = int(_USABLE_SHARE * memory_bytes) - PROGRAM_BYTES
    return max(usable_bytes, _TOTAL_BYTES_MIN)


class MemoryAccount:
    """Decides which bytes of callers a process holds.

    Args:
        size_bytes: Size of the account, in bytes.
        fds_max: Descriptors of the process.

    Attributes:
        size_bytes: Size of the account, in bytes.
        held_bytes: Bytes that are charged now.
        large_bytes: Bytes of connections that may not use the reserve.
        connections_max: Number of connections of callers.
    """

    def __init__(self, size_bytes: int, fds_max: int) -> None:
        self.size_bytes = size_bytes
        self.held_bytes = 0
        self.large_bytes = 0
        self._large_max = int((1.0 - _RESERVE_SHARE) * size_bytes)
        self._caller_max = int(_CALLER_SHARE * self._large_max)
        self._caller_bytes: collections.Counter[str] = collections.Counter()
        self._large: dict[Holding, None] = {}
        by_memory = int(_CONNECTIONS_SHARE * size_bytes) // CONNECTION_BYTES
        by_fds = int(_CALLER_FDS_SHARE * (fds_max - RESERVED_FDS))
        self.connections_max = max(1, min(by_memory, by_fds))

    @classmethod
    def for_process(cls, memory_bytes: int, fds_max: int) -> 'MemoryAccount':
        """Returns the account of a process.

        Args:
            memory_bytes: Memory of the process.
            fds_max: Descriptors of the process.
        """
        return cls(total_bytes(memory_bytes), fds_max)

    @property
    def used_share(self) -> float:
        """Share of the account that is charged."""
        return self.held_bytes / self.size_bytes

    def open(self, caller: str, give_way: Callable[[], None]) -> Holding:
        """Charges a new connection; the number of them is limited apart.

        Args:
            caller: IP address of the caller.
            give_way: Called when the connection has to free its memory.
        """
        self.held_bytes += CONNECTION_BYTES
        return Holding(caller, give_way)

    def close(self, holding: Holding) -> None:
        """Frees all that a connection holds; later calls have no effect.

        Args:
            holding: The holding of the connection.
        """
        if holding.closed:
            return
        self.shrink(holding, holding.held_bytes)
        self.held_bytes -= CONNECTION_BYTES
        holding.closed = True

    def grow(self, holding: Holding, byte_count: int, now_s: float) -> Verdict:
        """Charges further bytes to a connection, if they fit.

        If they do not fit, connections that have stalled give way first, the
        largest before the others. What they free counts at a later charge.

        Args:
            holding: The holding of the connection.
            byte_count: The bytes, before they are held.
            now_s: Monotonic time, in seconds.
        """
        if holding.closed:
            return Verdict.FULL
        verdict = self._check(holding, byte_count)
        if verdict is not Verdict.GRANTED:
            self._displace(holding, byte_count, verdict, now_s)
            verdict = self._check(holding, byte_count)
        if verdict is Verdict.GRANTED:
            self._set(holding, holding.held_bytes + byte_count)
        else:
            holding.exceeded = True
        return verdict

    def shrink(self, holding: Holding, byte_count: int) -> None:
        """Frees bytes of a connection.

        Args:
            holding: The holding of the connection.
            byte_count: The bytes.
        """
        if not holding.closed:
            self._set(holding, max(0, holding.held_bytes - byte_count))

    def _check(self, holding: Holding, byte_count: int) -> Verdict:
        if self.held_bytes + byte_count > self.size_bytes:
            return Verdict.FULL
        new_bytes = holding.held_bytes + byte_count
        if new_bytes <= SMALL_BYTES:
            return Verdict.GRANTED
        added_bytes = byte_count if holding.is_large else new_bytes
        if self.large_bytes + added_bytes > self._large_max:
            return Verdict.FULL
        caller_bytes = self._caller_bytes[holding.caller] + added_bytes
        if caller_bytes > self._caller_max:
            return Verdict.CALLER_FULL
        return Verdict.GRANTED

    def _displace(
        self,
        holding: Holding,
        byte_count: int,
        verdict: Verdict,
        now_s: float,
    ) -> None:
        """Lets stalled connections give way until a charge fits."""
        stalled = [
            other
            for other in self._large
            if other is not holding
            and other.is_stalled(now_s)
            and (verdict is Verdict.FULL or other.caller == holding.caller)
        ]
        stalled.sort(key=lambda other: (-other.held_bytes, other.progress_s))
        for other in stalled:
            other.give_way()
            # Its bytes are freed when its task has ended, within this turn
            # of the event loop or the next; no other task runs in between
            # that could take more than the share that is freed.
            self._set(other, 0)
            if self._check(holding, byte_count) is Verdict.GRANTED:
                return

    def _set(self, holding: Holding, new_bytes: int) -> None:
        if holding.is_large:
            self.large_bytes -= holding.held_bytes
            self._caller_bytes[holding.caller] -= holding.held_bytes
            del self._large[holding]
        self.held_bytes += new_bytes - holding.held_bytes
        holding.held_bytes = new_bytes
        if holding.is_large:
            self.large_bytes += new_bytes
            self._caller_bytes[holding.caller] += new_bytes
            self._large[holding] = None
        elif not self._caller_bytes[holding.caller]:
            # Addresses that hold nothing large take no memory.
            del self._caller_bytes[holding.caller]


# Share of the account above which a process reports itself as not ready.
_HIGH_SHARE = 0.85
# Time for which it stays so at most, in seconds: the balancer probes each
# second and needs two failures.
_UNREADY_MAX_S = 3.0
# Time for which it is ready afterwards, for each second that it was not. With
# seven it is not ready for an eighth of the time.
_READY_RATIO = 7.0


@attrs.define
class ReadinessLimiter:
    """Decides when a process that is short of memory is not ready.

    An instance that is not ready fails its obligation to serve, so this is
    bounded to an eighth of the time.
    """

    _unready_since_s: float | None = None
    _ready_until_s: float = 0.0

    def is_ready(self, used_share: float, now_s: float) -> bool:
        """Whether the process should be sent requests.

        Args:
            used_share: Share of the account that is charged.
            now_s: Monotonic time, in seconds.
        """
        since_s = self._unready_since_s
        if since_s is None:
            if used_share < _HIGH_SHARE or now_s < self._ready_until_s:
                return True
            self._unready_since_s = now_s
            return False
        unready_s = now_s - since_s
        if used_share >= _HIGH_SHARE and unready_s < _UNREADY_MAX_S:
            return False
        self._unready_since_s = None
        self._ready_until_s = now_s + _READY_RATIO * unready_s
        return True
