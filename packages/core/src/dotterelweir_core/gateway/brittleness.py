"""Keeps brittle targets from turning requests away.

The targets of a service may state that they are brittle: one that has to turn
more than some requests away in a second, for lack of room, ends. The load that
this answers: more requests than the targets run at once, sent by instances
that know of each other's requests with a delay.

The places of a target are dealt to the instances, so that all of them together
send no more than it runs at once, whatever they know of each other. Beyond its
own places an instance sends one request at a time, while the target seems half
empty, and none for a while after a refusal.
"""

import attrs

from dotterelweir_core import bounded_map
from dotterelweir_core.gateway import load as gateway_load
from dotterelweir_core.gateway import targets

# Maximum number of targets whose last refusal is kept.
_REFUSALS_MAX = 4_096
# Share of a target's places up to which requests beyond the own places are
# sent.
_SHARED_UTILISATION_MAX = 0.5
# Shortest time without such requests after a refusal, in seconds.
_REFUSAL_PAUSE_S = 1.0


@attrs.frozen
class Places:
    """Places of a target that are dealt to one instance.

    Attributes:
        count: Number of places.
        instances: Number of instances that share the target.
    """

    count: int
    instances: float


def deal_places(slots: int, instances: float, rank: int) -> Places:
    """Deals the places of a target to an instance.

    Args:
        slots: Requests that the target runs at once.
        instances: Number of instances that share the target, those that are
            not reached included.
        rank: Rank of the instance for the target, from 0.
    """
    whole, rest = divmod(slots, max(1, round(instances)))
    return Places(whole + (rank < rest), instances)


@attrs.frozen
class _Statement:
    """What the targets of a service last stated.

    Attributes:
        refusals_max_per_s: Requests that one may turn away in a second.
        stated_s: Time of the statement, in seconds.
    """

    refusals_max_per_s: float
    stated_s: float


class BrittleServices:
    """Services whose targets state that they are brittle."""

    def __init__(self) -> None:
        self._statements: dict[str, _Statement] = {}
        # Times of the last refusals by brittle targets, in seconds.
        self._refused_s: bounded_map.BoundedMap[str, float] = (
            bounded_map.BoundedMap(_REFUSALS_MAX)
        )

    def apply(
        self,
        service: str,
        refusals_max_per_s: float | None,
        sent_s: float,
        now_s: float,
    ) -> bool:
        """Applies what an answer of a target states.

        Answers may cross: one without a statement ends an earlier statement
        only if its request was sent after that.

        Args:
            service: Service of the target.
            refusals_max_per_s: Requests that one may turn away in a second;
                None if the answer states that none of this holds.
            sent_s: Monotonic time at which the request was sent, in seconds.
            now_s: Monotonic time, in seconds.

        Returns:
            Whether the service became brittle or ceased to be it.
        """
        known = self._statements.get(service)
        if refusals_max_per_s is None:
            if known is None or sent_s < known.stated_s:
                return False
            del self._statements[service]
            return True
        self._statements[service] = _Statement(refusals_max_per_s, now_s)
        return known is None

    def is_brittle(self, service: str) -> bool:
        """Whether the targets of a service are brittle."""
        return service in self._statements

    def record_refusal(self, target: targets.Target, now_s: float) -> None:
        """Records that a target turned a request of this instance away.

        Args:
            target: The target.
            now_s: Monotonic time, in seconds.
        """
        if self.is_brittle(target.service):
            self._refused_s.put(target.target_id, now_s)

    def accepts(
        self,
        target: targets.Target,
        load: gateway_load.TargetLoad,
        places: Places,
        now_s: float,
    ) -> bool:
        """Whether a target may be sent a further request.

        Args:
            target: The target.
            load: Its load.
            places: Its places that are dealt to this instance.
            now_s: Monotonic time, in seconds.
        """
        statement = self._statements.get(target.service)
        if statement is None or load.running < places.count:
            return True
        pause_s = max(
            _REFUSAL_PAUSE_S,
            places.instances / max(1.0, statement.refusals_max_per_s),
        )
        refused_s = self._refused_s.get(target.target_id, float('-inf'))
        if load.running or now_s - refused_s < pause_s:
            return False
        return load.peer_running < _SHARED_UTILISATION_MAX * target.slots
