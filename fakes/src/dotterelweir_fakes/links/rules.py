"""Rules that cut, stall or delay links."""

import asyncio
import enum

import attrs


class Mode(enum.IntEnum):
    """State of a link; the highest value of the matching rules applies.

    A stalled link holds the bytes of connections until the stall ends, as
    with retransmission, and drops datagrams. A cut link drops datagrams,
    resets open connections and refuses new ones.
    """

    OPEN = 0
    STALL = 1
    CUT = 2


@attrs.frozen
class Rule:
    """Mode and latency from one group of ports to another, one way.

    Attributes:
        source: Name or availability zone of the senders.
        destination: Name or availability zone of the receivers.
        mode: State of the links.
        delay_s: One-way latency, in seconds.
    """

    source: str
    destination: str
    mode: Mode
    delay_s: float = 0.0


class Rules:
    """Rules of all links; a port without a name matches no rule.

    Attributes:
        stalled_connects: Number of connections that were requested while
            their link was stalled.
    """

    def __init__(self) -> None:
        self.stalled_connects = 0
        self._rules: list[Rule] = []
        self._groups_by_port: dict[int, tuple[str, str]] = {}
        self._changed = asyncio.Event()

    def name_port(self, port: int, name: str, zone: str) -> None:
        """Assigns a name and an availability zone to a port.

        Args:
            port: Port of an instance, a target or the platform.
            name: Name that rules can refer to.
            zone: Availability zone that rules can refer to.
        """
        self._groups_by_port[port] = (name, zone)

    def cut(self, one: str, other: str) -> None:
        """Cuts the links between two names or zones, both ways."""
        self._add_both_ways(one, other, Mode.CUT)

    def stall(self, one: str, other: str) -> None:
        """Stalls the links between two names or zones, both ways."""
        self._add_both_ways(one, other, Mode.STALL)

    def stall_one_way(self, source: str, destination: str) -> None:
        """Stalls the links from one name or zone to another, one way."""
        self._add(Rule(source, destination, Mode.STALL))

    def delay(self, one: str, other: str, delay_s: float) -> None:
        """Adds a latency in seconds between two names or zones, both ways."""
        self._add_both_ways(one, other, Mode.OPEN, delay_s)

    def heal(self) -> None:
        """Removes every rule."""
        self._rules.clear()
        self._wake_waiters()

    def mode(self, source: int, destination: int) -> Mode:
        """Returns the mode from one port to another."""
        return max(
            (rule.mode for rule in self._matching_rules(source, destination)),
            default=Mode.OPEN,
        )

    def delay_s(self, source: int, destination: int) -> float:
        """Returns the latency from one port to another, in seconds."""
        return max(
            (
                rule.delay_s
                for rule in self._matching_rules(source, destination)
            ),
            default=0.0,
        )

    async def wait_while_stalled(self, source: int, destination: int) -> Mode:
        """Waits for the end of a stall from one port to another.

        Returns:
            The mode after the stall: open or cut.
        """
        while (mode := self.mode(source, destination)) is Mode.STALL:
            await self._changed.wait()
        return mode

    async def wait_until_cut(self, source: int, destination: int) -> None:
        """Waits until the link from one port to another is cut."""
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
