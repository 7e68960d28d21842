"""Protection against replayed and stale datagrams."""

import attrs

from dotterelweird.peers import codec

# Clocks of instances may differ by this much less the transit time.
STALE_S = 30.0
# Numbers below the highest one that are still accepted. At about 10
# datagrams a second this covers more than the age of a stale one.
WINDOW = 1024
SENDERS_MAX = 4096


@attrs.define
class _Sender:
    boot: int
    highest: int
    seen: int
    heard_s: float


class ReplayGuard:
    """Remembers which datagrams of each sender have been taken."""

    def __init__(self) -> None:
        self._senders: dict[str, _Sender] = {}

    @property
    def senders(self) -> int:
        """How many senders are remembered."""
        return len(self._senders)

    def check(self, envelope: codec.Envelope, wall_s: float) -> None:
        """Takes note of a datagram.

        Args:
            envelope: A datagram whose digest has been verified.
            wall_s: The time, in wall seconds.

        Raises:
            DatagramRejectedError: It is stale or was taken before.
        """
        if abs(wall_s - envelope.sent_at_ms / 1000.0) > STALE_S:
            raise codec.DatagramRejectedError(codec.Drop.STALE)
        name = envelope.datagram.sender_id
        sender = self._senders.get(name)
        # After twice that time without a datagram every replay of an old run
        # is stale, so a sender whose clock went back is accepted again.
        if sender is None or (
            envelope.boot != sender.boot
            and (
                envelope.boot > sender.boot
                or wall_s - sender.heard_s > 2 * STALE_S
            )
        ):
            self._forget(wall_s)
            self._senders[name] = _Sender(
                envelope.boot, envelope.sequence, 1, wall_s
            )
            return
        if envelope.boot < sender.boot:
            raise codec.DatagramRejectedError(codec.Drop.REPLAYED)
        ahead = envelope.sequence - sender.highest
        if ahead > 0:
            shifted = sender.seen << min(ahead, WINDOW)
            sender.seen = (shifted | 1) & ((1 << WINDOW) - 1)
            sender.highest = envelope.sequence
        else:
            bit = 1 << -ahead if -ahead < WINDOW else 0
            if not bit or sender.seen & bit:
                raise codec.DatagramRejectedError(codec.Drop.REPLAYED)
            sender.seen |= bit
        sender.heard_s = wall_s

    def _forget(self, wall_s: float) -> None:
        if len(self._senders) < SENDERS_MAX:
            return
        for name, sender in list(self._senders.items()):
            if wall_s - sender.heard_s > 2 * STALE_S:
                del self._senders[name]
        while len(self._senders) >= SENDERS_MAX:
            del self._senders[next(iter(self._senders))]
