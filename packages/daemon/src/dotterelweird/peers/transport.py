"""Transport of datagrams over UDP."""

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

# At most one log line per reason in this time. The line has the number of
# datagrams dropped since the previous one.
LOG_PERIOD_S = 10.0

DatagramHandler = Callable[[messages.Datagram, str, int], None]


class DropLog:
    """Counts dropped datagrams and logs them at a bounded rate.

    Attributes:
        totals: Number of dropped datagrams by reason.
    """

    def __init__(
        self,
        timer: timers.TimerService,
        count_drop: Callable[[str], None] | None = None,
    ) -> None:
        """Sets all counts to zero.

        Args:
            timer: Clock and timers.
            count_drop: Called with the reason of each drop, for the metrics.
        """
        self._timer = timer
        self._count_drop = count_drop
        self._unlogged_counts: Counter[codec.DropReason] = Counter()
        self._last_logged_s: dict[codec.DropReason, float] = {}
        self.totals: Counter[codec.DropReason] = Counter()

    def add(self, reason: codec.DropReason, host: str) -> None:
        """Counts a dropped datagram and logs the count if it is due.

        Args:
            reason: Reason for dropping the datagram.
            host: Address of its sender.
        """
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
    """Sends datagrams and passes valid received ones to a handler."""

    def __init__(
        self,
        timer: timers.TimerService,
        datagram_codec: codec.Codec,
        boot: int,
        handler: DatagramHandler,
        drops: DropLog,
    ) -> None:
        """Prepares the transport; ``open`` opens its socket.

        Args:
            timer: Clock and timers.
            datagram_codec: Codec with the keys.
            boot: Number of this process run; higher than the numbers of
                earlier runs.
            handler: Called with each valid datagram and the host and port
                that it came from.
            drops: Log of dropped datagrams.
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
        """Opens the socket and returns its port.

        Args:
            host: IP address to bind.
            port: Port to bind; 0 lets the operating system choose.

        Raises:
            OSError: The address cannot be bound.
        """
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
        """Sends a datagram; delivery is not guaranteed."""
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
        # The system reports an error of an earlier send without the address
        # of the peer; the probe of that peer times out.
        events.log(LOG, events.DATAGRAM_SEND_FAILED, reason=str(exc))
