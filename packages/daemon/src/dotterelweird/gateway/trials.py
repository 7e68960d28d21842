"""Gives instances turns to try what is blocked at all of them."""

from collections.abc import Callable
import math

import attrs

from dotterelweir_core import bounded_map
from dotterelweir_core import timers
from dotterelweir_core.gateway import retry_budget
from dotterelweir_core.gateway import turns
from dotterelweird.gateway import peer_view

# Time by which the trials at two instances are apart, in seconds: longer than
# a target needs to end, and the news of it to arrive.
_STAGGER_S = 2.0
# Time after which an instance tries again if its trial was neither answered
# nor ended a target, in seconds.
_INTERVAL_S = 30.0
# Maximum number of trials that are remembered; the oldest are evicted first.
_TRIED_MAX = 1_024


@attrs.define
class TrialTurns:
    """Decides when this instance may send a blocked request to a target.

    One instance after the other may do so, in an order that all agree on.

    Attributes:
        instance_id: Id of this instance.
        timers: The timer service.
        view: Returns the other instances.
    """

    instance_id: str
    timers: timers.TimerService
    view: Callable[[], peer_view.PeerView]
    # Times at which this instance tried, by what is blocked.
    _tried_s: bounded_map.BoundedMap[str, float] = attrs.field(
        factory=lambda: bounded_map.BoundedMap(_TRIED_MAX)
    )

    def is_due(self, subject: str, trial_s: float) -> bool:
        """Whether this instance may try now.

        Args:
            subject: What is blocked.
            trial_s: Time from which the first instance may try, in seconds.
        """
        now_s = self.timers.elapsed_s()
        if now_s < trial_s:
            return False
        if now_s < trial_s + self.rank(subject) * _STAGGER_S:
            return False
        return now_s - self._tried_s.get(subject, -math.inf) >= _INTERVAL_S

    def rank(self, subject: str) -> int:
        """Returns the rank of this instance among all, from 0.

        Args:
            subject: What is blocked.
        """
        view = self.view()
        if not view.is_informed:
            # Any of the others may try before.
            return retry_budget.DEFAULT_INSTANCES
        others = [peer.instance_id for peer in view.peers]
        return turns.rank_of(self.instance_id, others, subject)

    def record(self, subject: str) -> None:
        """Records that this instance tries now.

        Args:
            subject: What is blocked.
        """
        self._tried_s.put(subject, self.timers.elapsed_s())
