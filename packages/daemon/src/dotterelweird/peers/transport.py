"""Datagrams over UDP."""

import asyncio
from collections import Counter
from collections.abc import Callable
import logging
import typing

from dotterelweir_core import events
from dotterelweir_core import timers
from dotterelweir_core.membership import messages
from dotterelweird.peers import codec
from dotterelweird.peers import replay

LOG = logging.getLogger(__name__)

# One log line for each reason in this time; the line has the count.
LOG_PERIOD_S = 10.0

DatagramHandler = Callable[[messages.Datagram, str, int], None]


class DropLog:
    """Counts dropped datagrams and logs them at a bounded rate."""

    def __init__(
        self,
        timer: timers.TimerService,
        count_drop: Callable[[str], None] | None = None,
    ) -> None:
        """Starts at zero.

        Args:
            timer: Source of time.
            count: Told the reason of each drop, for the metrics.
        """
        self._timer = timer
        self._count_drop = count_drop
        self._unlogged_counts: Counter[codec.DropReason] = Counter()
        self._last_logged_s: dict[codec.DropReason, float] = {}
        self.totals: Counter[codec.DropReason] = Counter()

    def add(self, reason: codec.DropReason, host: str) -> None:
        """Counts one drop."""
        self.totals[reason] += 1
        self._unlogged_counts[reason] += 1
        if self._count_drop is not None:
            self._count_drop(reason.value)
        now_s = self._timer.monotonic_s()
        last_logged_s = self._last_logged_s.get(reason)
        if last_logged_s is None or now_s - last_logged_s >= LOG_PERIOD_S:
            self._last_logged_s[reason] = now_s
            events.log(
                LOG,
                events.DATAGRAM_DROPPED,
                reason=reason.value,
                host=host,
                count=self._unlogged_counts.pop(reason),
            )


class PeerTransport(asyncio.DatagramProtocol):
    """Sends and receives datagrams."""

    def __init__(
        self,
        timer: timers.TimerService,
        datagram_codec: codec.Codec,
        boot: int,
        handler: DatagramHandler,
        drops: DropLog,
    ) -> None:
        """Is not open until ``open`` has run.

        Args:
            timer: Source of time.
            datagram_codec: Codec with the keys.
            boot: Number of this run; higher than that of earlier ones.
            receiver: Gets each valid datagram with its origin.
            drops: Gets each dropped one.
        """
        self._timer = timer
        self._codec = datagram_codec
        self._boot = boot
        self._handler = handler
        self._drops = drops
        self._replay_guard = replay.ReplayGuard()
        self._sequence = 0
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, host: str, port: int) -> int:
        """Binds the address; returns the port."""
        (
            transport,
            _,
        ) = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )
        self._transport = typing.cast(asyncio.DatagramTransport, transport)
        return transport.get_extra_info('sockname')[1]

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def send(self, datagram: messages.Datagram, host: str, port: int) -> None:
        """Sends a datagram; it may be lost."""
        if self._transport is None:
            return
        self._sequence += 1
        data = self._codec.encode(
            codec.Envelope(
                self._boot,
                self._sequence,
                int(self._timer.wall_s() * 1000),
                datagram,
            )
        )
        self._transport.sendto(data, (host, port))

    def datagram_received(
        self, data: bytes, addr: tuple[str | typing.Any, int]
    ) -> None:
        try:
            envelope = self._codec.decode(data)
            self._replay_guard.check(envelope, self._timer.wall_s())
        except codec.DatagramRejectedError as error:
            self._drops.add(error.reason, addr[0])
            return
        self._handler(envelope.datagram, addr[0], addr[1])

    def error_received(self, exc: Exception) -> None:
        # A closed port of a peer; its probe goes unanswered.
        events.log(LOG, events.DATAGRAM_SEND_FAILED, reason=str(exc))
