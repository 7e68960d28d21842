"""Registry of callers' connections, bounded in number and unread bytes."""

import abc
from collections.abc import Callable

from dotterelweir_core import events
from dotterelweir_core import timers
from dotterelweir_core.gateway import memory_account
from dotterelweird.gateway.callers import memory as caller_memory

# Interval of the looks at what callers have not read, in seconds. It is below
# the time after which a connection counts as stalled.
_SWEEP_S = 0.25


class Connection(abc.ABC):
    """A connection of a caller, as the registry sees it.

    Attributes:
        holding: What it holds.
    """

    holding: memory_account.Holding

    @property
    @abc.abstractmethod
    def unread_bytes(self) -> int:
        """Bytes of answers that the caller has not read."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Closes the connection; what the caller has not read is lost."""


class ConnectionRegistry:
    """Closes connections that are too many or whose answers stay unread.

    Args:
        memory: The account.
        timer_service: The timer service.
        idle_timeout_s: Returns the time without progress after which a
            connection is closed, in seconds.
    """

    def __init__(
        self,
        memory: caller_memory.CallerMemory,
        timer_service: timers.TimerService,
        idle_timeout_s: Callable[[], float],
    ) -> None:
        self.memory = memory
        self._timers = timer_service
        self._idle_timeout_s = idle_timeout_s
        self._connections: set[Connection] = set()
        # Connections without a request in progress, the longest idle first.
        self._idle: dict[Connection, None] = {}
        # Unread bytes at the last look.
        self._unread: dict[Connection, int] = {}
        self._sweep_handle: timers.TimerHandle | None = None

    def add(self, connection: Connection) -> None:
        """Adds a connection and closes another one if they are too many.

        The one that has been idle for longest is closed. If all of them have
        requests in progress, the new one is.

        Args:
            connection: The connection.
        """
        self._connections.add(connection)
        self._idle[connection] = None
        if len(self._connections) > self.memory.account.connections_max:
            victim = next(iter(self._idle))
            self.remove(victim)
            reason = 'new' if victim is connection else 'idle'
            self.memory.report_closed(events.CALLER_CLOSED, reason)
            victim.abort()

    def remove(self, connection: Connection) -> None:
        """Removes a connection; later calls have no effect.

        Args:
            connection: The connection.
        """
        self._connections.discard(connection)
        self._idle.pop(connection, None)
        self._unread.pop(connection, None)
        self.memory.account.close(connection.holding)

    def begin_request(self, connection: Connection) -> None:
        """Records that a connection has a request in progress.

        Args:
            connection: The connection.
        """
        self._idle.pop(connection, None)
        self.memory.record_progress(
            connection.holding, memory_account.Phase.RUNNING
        )

    def end_request(self, connection: Connection) -> None:
        """Frees what a request held, apart from what its caller has not read.

        Args:
            connection: The connection.
        """
        if connection not in self._connections:
            return
        self._idle[connection] = None
        self._settle(connection, connection.unread_bytes)
        if connection.unread_bytes:
            self.watch_unread(connection)

    def watch_unread(self, connection: Connection) -> None:
        """Closes a connection if its caller stops to read.

        Args:
            connection: The connection, with unread bytes.
        """
        if connection in self._unread or connection not in self._connections:
            return
        self._unread[connection] = connection.unread_bytes
        self.memory.record_progress(connection.holding)
        if self._sweep_handle is None:
            self._schedule_sweep()

    def close(self) -> None:
        """Cancels the timer."""
        if self._sweep_handle is not None:
            self._sweep_handle.cancel()
            self._sweep_handle = None

    def _schedule_sweep(self) -> None:
        self._sweep_handle = self._timers.call_after(_SWEEP_S, self._sweep)

    def _settle(self, connection: Connection, unread_bytes: int) -> None:
        """Adapts the charge of a connection without a request in progress."""
        holding = connection.holding
        account = self.memory.account
        account.shrink(holding, holding.held_bytes - unread_bytes)
        self.memory.record_progress(
            holding,
            memory_account.Phase.WRITING
            if unread_bytes
            else memory_account.Phase.IDLE,
        )

    def _sweep(self) -> None:
        self._sweep_handle = None
        now_s = self._timers.monotonic_s()
        for connection, previous_bytes in tuple(self._unread.items()):
            unread_bytes = connection.unread_bytes
            holding = connection.holding
            if unread_bytes < previous_bytes:
                self.memory.record_progress(holding)
                if connection in self._idle:
                    self._settle(connection, unread_bytes)
            self._unread[connection] = unread_bytes
            if not unread_bytes:
                del self._unread[connection]
            elif now_s - holding.progress_s >= self._idle_timeout_s():
                self.remove(connection)
                self.memory.report_closed(
                    events.CALLER_READS_TOO_SLOWLY, 'no progress'
                )
                connection.abort()
        if self._unread:
            self._schedule_sweep()
