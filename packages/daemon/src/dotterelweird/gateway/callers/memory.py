"""Charges what callers send and are sent to the account of the process."""

import logging
import random

import aioprometheus

from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core import timers
from dotterelweir_core.gateway import memory_account
from dotterelweird.gateway.callers import bounded_log

LOG = logging.getLogger(__name__)

# Time after which a caller may repeat a request that was refused for lack of
# memory, in seconds. Stalled bodies give way after one second; the range
# spreads the callers over time.
_RETRY_AFTER_S = (1.0, 3.0)
# Bytes charged for each byte of a large body: a buffer that grows reserves an
# eighth more than it holds, and the allocator rounds its blocks.
BUFFER_FACTOR = 1.25


class CallerMemory:
    """The account of the process as the gateway uses it.

    Args:
        account: The account.
        timer_service: Clock.
        rng: Random source.
        refusals: Counts refused requests, by reason.
        closed: Counts closed connections, by reason.

    Attributes:
        account: The account.
        log: Log of events whose number is bounded.
    """

    def __init__(
        self,
        account: memory_account.MemoryAccount,
        timer_service: timers.TimerService,
        rng: random.Random,
        refusals: aioprometheus.Counter,
        closed: aioprometheus.Counter,
    ) -> None:
        self.account = account
        self._timers = timer_service
        self._rng = rng
        self._refusals = refusals
        self._closed = closed
        self.log = bounded_log.BoundedLog(LOG, timer_service)

    def charge_body(
        self, holding: memory_account.Holding, byte_count: int
    ) -> None:
        """Charges bytes of a body before they are read.

        Args:
            holding: The holding of the connection.
            byte_count: The bytes.

        Raises:
            DotterelweirError: MEMORY_SHORT if they do not fit.
        """
        if holding.held_bytes + byte_count > memory_account.SMALL_BYTES:
            byte_count = int(BUFFER_FACTOR * byte_count)
        verdict = self.account.grow(
            holding, byte_count, self._timers.monotonic_s()
        )
        if verdict is not memory_account.Verdict.GRANTED:
            self.report_refusal(verdict.value)
            raise self.make_error()

    def charge(self, holding: memory_account.Holding, byte_count: int) -> bool:
        """Charges bytes of an answer and returns whether they fit.

        Args:
            holding: The holding of the connection.
            byte_count: The bytes.
        """
        verdict = self.account.grow(
            holding, byte_count, self._timers.monotonic_s()
        )
        return verdict is memory_account.Verdict.GRANTED

    def record_progress(
        self,
        holding: memory_account.Holding,
        phase: memory_account.Phase | None = None,
    ) -> None:
        """Records that a caller sent or read something.

        Args:
            holding: The holding of its connection.
            phase: What the connection waits for from now on; None if that
                stays as it is.
        """
        holding.progress_s = self._timers.monotonic_s()
        if phase is not None:
            holding.phase = phase

    def make_error(self) -> errors.DotterelweirError:
        """Returns the error with which a request is refused."""
        return errors.DotterelweirError(
            errors.ErrorKind.MEMORY_SHORT,
            retry_after_s=round(self._rng.uniform(*_RETRY_AFTER_S), 2),
        )

    def report_refusal(self, reason: str) -> None:
        """Counts and logs a request that was refused for lack of memory.

        Args:
            reason: The bound that was reached.
        """
        self._refusals.inc({'reason': reason})
        self.log.log(
            events.CALLER_REFUSED_FOR_MEMORY,
            reason,
            held_bytes=self.account.held_bytes,
            size_bytes=self.account.size_bytes,
        )

    def report_closed(self, event: events.Event, reason: str) -> None:
        """Counts and logs a connection that was closed.

        Args:
            event: The event.
            reason: Why it was closed.
        """
        self._closed.inc({'reason': reason})
        self.log.log(event, reason, held_bytes=self.account.held_bytes)
