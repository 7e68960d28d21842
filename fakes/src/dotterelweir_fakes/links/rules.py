"""Which links pass, stall or are cut."""

import asyncio
import enum

import attrs


class Mode(enum.IntEnum):
    """What becomes of the bytes on a link; the greatest rule wins.

    A stalled link keeps the bytes of connections until it passes again, as
    retransmission does, and loses datagrams. A cut link also resets open
    connections and refuses new ones.
    """

    OPEN = 0
    STALL = 1
    CUT = 2


@attrs.frozen
class Rule:
    """What one direction of the links between two groups does.

    Attributes:
        source: Name or zone of the senders.
        destination: Name or zone of the receivers.
        mode: What becomes of the bytes.
        delay_s: One-way latency.
    """

    source: str
    destination: str
    mode: Mode
    delay_s: float = 0.0


class Rules:
    """The rules in force; an unnamed address matches no rule.

    Attributes:
        stalled_connects: Connections that were asked for over a stalled
            link.
    """

    def __init__(self) -> None:
        self.stalled_connects = 0
        self._rules: list[Rule] = []
        self._groups_by_port: dict[int, tuple[str, str]] = {}
        self._changed = asyncio.Event()

    def name_port(self, port: int, name: str, zone: str) -> None:
        """Names what listens on a port."""
        self._groups_by_port[port] = (name, zone)

    def cut(self, one: str, other: str) -> None:
        """Cuts the links between two names or zones."""
        self._add_both_ways(one, other, Mode.CUT)

    def stall(self, one: str, other: str) -> None:
        """Stalls the links between two names or zones."""
        self._add_both_ways(one, other, Mode.STALL)

    def stall_one_way(self, source: str, destination: str) -> None:
        """Stalls only what is sent from the source."""
        self._add(Rule(source, destination, Mode.STALL))

    def delay(self, one: str, other: str, delay_s: float) -> None:
        """Delays the links between two names or zones."""
        self._add_both_ways(one, other, Mode.OPEN, delay_s)

    def heal(self) -> None:
        """Removes every rule."""
        self._rules.clear()
        self._wake_waiters()

    def mode(self, source: int, destination: int) -> Mode:
        """What becomes of bytes between two ports, in one direction."""
        return max(
            (rule.mode for rule in self._matching_rules(source, destination)),
            default=Mode.OPEN,
        )

    def delay_s(self, source: int, destination: int) -> float:
        """The latency between two ports, in one direction."""
        return max(
            (
                rule.delay_s
                for rule in self._matching_rules(source, destination)
            ),
            default=0.0,
        )

    async def wait_while_stalled(self, source: int, destination: int) -> Mode:
        """Waits while a direction stalls; returns its mode then."""
        while (mode := self.mode(source, destination)) is Mode.STALL:
            await self._changed.wait()
        return mode

    async def wait_until_cut(self, source: int, destination: int) -> None:
        """Waits until a direction is cut."""
        while self.mode(source, destination) is not Mode.CUT:
            await self._changed.wait()

    def _add_both_ways(
        self, one: str, other: str, mode: Mode, delay_s: float = 0.0
    ) -> None:
        self._rules.append(Rule(one, other, mode, delay_s))
        self._add(Rule(other, one, mode, delay_s))

    def _add(self, rule: Rule) -> None:
        self._rules.append(rule)
        self._wake_waiters()

    def _wake_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _matching_rules(self, source: int, destination: int) -> list[Rule]:
        senders = self._groups_by_port.get(source, ())
        receivers = self._groups_by_port.get(destination, ())
        return [
            rule
            for rule in self._rules
            if rule.source in senders and rule.destination in receivers
        ]
