"""What this instance knows of the load of each target.

Load that other instances caused is known from their load digests, which
are up to one exchange period old.
"""

from collections.abc import Callable

import attrs

# Weight of the newest sample in the mean time of a plain call.
_SERVICE_TIME_WEIGHT = 0.2
# Time for which a refusal counts as a full queue, in seconds: about the
# time in which an engine of the usual size finishes one request.
_REFUSED_S = 0.5
# Failures in a row after which a target is avoided, and for how long, in
# seconds; the time doubles with each further failure up to the bound.
_FAILURES_TO_AVOID = 2
_AVOID_S = 0.5
_AVOID_MAX_S = 4.0


@attrs.define
class TargetLoad:
    """Load and health of one target.

    Attributes:
        running: Own requests in flight.
        tokens: Tokens that they are expected to hold.
        backup_tokens: Tokens of backups that own requests keep there.
        prefill_tokens: Prompt tokens of own requests without a first event.
        peer_running: Requests of other instances in flight.
        peer_tokens: Tokens that those are expected to hold.
        peer_prefill_tokens: Prompt tokens of those without a first event.
        mean_s: Mean time of a plain call; 0 before the first one.
        failures: Failures in a row.
        avoid_until_s: Monotonic time until which it gets no new work if
            another target can take it.
        last_event_s: When a stream of it last delivered an event.
    """

    running: int = 0
    tokens: int = 0
    backup_tokens: int = 0
    prefill_tokens: int = 0
    peer_running: float = 0.0
    peer_tokens: float = 0.0
    peer_prefill_tokens: float = 0.0
    mean_s: float = 0.0
    failures: int = 0
    avoid_until_s: float = 0.0
    last_event_s: float = float('-inf')

    def record_success(self, taken_s: float, now_s: float) -> None:
        """Takes note of a request that ended well."""
        self.failures = 0
        self.avoid_until_s = min(self.avoid_until_s, now_s)
        if self.mean_s:
            self.mean_s += _SERVICE_TIME_WEIGHT * (taken_s - self.mean_s)
        else:
            self.mean_s = taken_s

    def record_refusal(self, now_s: float) -> None:
        """Takes note of a refusal for lack of room."""
        self.avoid_until_s = max(self.avoid_until_s, now_s + _REFUSED_S)

    def record_failure(self, now_s: float) -> None:
        """Takes note of a request that the target failed."""
        self.failures += 1
        over = self.failures - _FAILURES_TO_AVOID
        if over >= 0:
            delay_s = min(_AVOID_MAX_S, _AVOID_S * 2.0 ** min(over, 8))
            self.avoid_until_s = max(self.avoid_until_s, now_s + delay_s)

    def record_unreachable(self, now_s: float) -> None:
        """Takes note that no connection could be opened."""
        self.failures = max(self.failures, _FAILURES_TO_AVOID - 1)
        self.record_failure(now_s)


@attrs.frozen
class DigestRow:
    """Load that instances cause at one target.

    Attributes:
        running: Requests in flight.
        tokens: Tokens that they and their copies are expected to hold.
        prefill_tokens: Prompt tokens of requests without a first event.
    """

    running: float = 0.0
    tokens: float = 0.0
    prefill_tokens: float = 0.0

    def __add__(self, other: 'DigestRow') -> 'DigestRow':
        return DigestRow(
            self.running + other.running,
            self.tokens + other.tokens,
            self.prefill_tokens + other.prefill_tokens,
        )


class LoadBook:
    """The load of every target that this instance used."""

    def __init__(self) -> None:
        self._loads: dict[str, TargetLoad] = {}
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls a function after each change of a generation's load."""
        self._listeners.append(listener)

    def announce(self) -> None:
        """Tells the listeners that the load of a generation changed."""
        for listener in self._listeners:
            listener()

    def get(self, target_id: str) -> TargetLoad:
        """The load of a target."""
        load = self._loads.get(target_id)
        if load is None:
            load = self._loads[target_id] = TargetLoad()
        return load

    def forget(self, target_id: str) -> None:
        """Drops an unused target that is gone."""
        load = self._loads.get(target_id)
        if load is not None and not load.running and not load.backup_tokens:
            del self._loads[target_id]

    def own(self) -> dict[str, DigestRow]:
        """Own load by target, for the load digest."""
        return {
            target_id: DigestRow(
                load.running,
                load.tokens + load.backup_tokens,
                load.prefill_tokens,
            )
            for target_id, load in self._loads.items()
            if load.running or load.backup_tokens
        }

    def set_peer_loads(self, totals: dict[str, DigestRow]) -> None:
        """Replaces the load that other instances cause, by target."""
        for target_id in totals:
            self.get(target_id)
        idle = DigestRow()
        for target_id, load in self._loads.items():
            row = totals.get(target_id, idle)
            load.peer_running = row.running
            load.peer_tokens = row.tokens
            load.peer_prefill_tokens = row.prefill_tokens
