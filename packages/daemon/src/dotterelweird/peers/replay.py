"""Protection against replayed and stale datagrams."""

import attrs

from dotterelweird.peers import codec

# Largest accepted difference between the time of sending and the local
# clock: the difference of the two clocks plus the transit time.
TIMESTAMP_TOLERANCE_S = 30.0
# How far below the highest sequence number others are still accepted. At
# about 10 datagrams a second the window is longer than the tolerance.
WINDOW_DATAGRAMS = 1024
# Maximum number of senders that are recorded; the oldest are dropped.
SENDERS_MAX = 4096


@attrs.define
class _SenderState:
    boot: int
    highest_sequence: int
    received_mask: int
    last_received_s: float


class ReplayGuard:
    """Records which datagrams of each sender have been accepted."""

    def __init__(self) -> None:
        self._senders: dict[str, _SenderState] = {}

    @property
    def sender_count(self) -> int:
        """Number of senders with recorded datagrams."""
        return len(self._senders)

    def check(self, envelope: codec.Envelope, wall_s: float) -> None:
        """Checks a datagram and records it as accepted.

        Args:
            envelope: A datagram whose digest has been verified.
            wall_s: Wall-clock time, in seconds since the Unix epoch.

        Raises:
            DatagramRejectedError: The datagram is stale or was accepted
                before.
        """
        if abs(wall_s - envelope.sent_at_ms / 1000.0) > TIMESTAMP_TOLERANCE_S:
            raise codec.DatagramRejectedError(codec.DropReason.STALE)
        sender_id = envelope.datagram.sender_id
        sender = self._senders.get(sender_id)
        # A sender whose clock was set back restarts with a lower run number.
        # After twice the tolerance without a datagram every replay of an
        # earlier run is stale, so any run number is accepted then.
        if sender is None or (
            envelope.boot != sender.boot
            and (
                envelope.boot > sender.boot
                or wall_s - sender.last_received_s > 2 * TIMESTAMP_TOLERANCE_S
            )
        ):
            self._evict_senders(wall_s)
            self._senders[sender_id] = _SenderState(
                envelope.boot, envelope.sequence, 1, wall_s
            )
            return
        if envelope.boot < sender.boot:
            raise codec.DatagramRejectedError(codec.DropReason.REPLAYED)
        ahead = envelope.sequence - sender.highest_sequence
        if ahead > 0:
            shifted_mask = sender.received_mask << min(ahead, WINDOW_DATAGRAMS)
            sender.received_mask = (shifted_mask | 1) & (
                (1 << WINDOW_DATAGRAMS) - 1
            )
            sender.highest_sequence = envelope.sequence
        else:
            bit = 1 << -ahead if -ahead < WINDOW_DATAGRAMS else 0
            if not bit or sender.received_mask & bit:
                raise codec.DatagramRejectedError(codec.DropReason.REPLAYED)
            sender.received_mask |= bit
        sender.last_received_s = wall_s

    def _evict_senders(self, wall_s: float) -> None:
        if len(self._senders) < SENDERS_MAX:
            return
        for sender_id, sender in list(self._senders.items()):
            if wall_s - sender.last_received_s > 2 * TIMESTAMP_TOLERANCE_S:
                del self._senders[sender_id]
        while len(self._senders) >= SENDERS_MAX:
            del self._senders[next(iter(self._senders))]
