"""Keeps calls under which several services have ended away from others."""

import logging
import math

from dotterelweir_core import bounded_map
from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core import timers
from dotterelweir_core.gateway import engine_ends
from dotterelweir_core.gateway import request_quarantine
from dotterelweir_core.targets import model as targets_model
from dotterelweird import probing

LOG = logging.getLogger(__name__)

# Timeout of the connection that shows whether a service has ended, in seconds.
_PROBE_TIMEOUT_S = 0.2
# Time after which a blocked call is tried again if its trial was neither
# answered nor ended a service, in seconds.
_TRIAL_INTERVAL_S = 30.0
# Maximum number of trials that are remembered; the oldest are evicted first.
_TRIED_MAX = 1_024


class EndGuard:
    """Records the ends of services and checks calls against them.

    Each instance knows only the ends that it has seen itself.

    Args:
        timer: Clock and timers.
    """

    def __init__(self, timer: timers.TimerService) -> None:
        self._timer = timer
        self._quarantine = request_quarantine.RequestQuarantine()
        self._tried_s: bounded_map.BoundedMap[str, float] = (
            bounded_map.BoundedMap(_TRIED_MAX)
        )

    async def record_lost_connection(
        self, target: targets_model.Target, key: str
    ) -> None:
        """Records a call whose service closed the connection.

        Args:
            target: The service.
            key: Key of the call.
        """
        if not await probing.refuses_connections(
            target.host, target.port, _PROBE_TIMEOUT_S
        ):
            return
        report = engine_ends.EndReport(
            target.target_id, target.incarnation, frozenset({key})
        )
        if self._quarantine.apply(report, self._timer.elapsed_s()):
            events.log(
                LOG,
                events.TARGET_ENDED,
                target_id=target.target_id,
                keys=[key],
            )

    def record_answer(self, key: str) -> None:
        """Records that a service has answered a call."""
        now_s = self._timer.elapsed_s()
        self._quarantine.record_answer(key, now_s)
        answer = self._quarantine.unstated_answer(key, now_s)
        if answer is not None:
            self._quarantine.apply(answer, now_s)
            events.log(LOG, events.REQUEST_CLEARED, key=key)

    def find_error(
        self, key: str, request_id: str
    ) -> errors.DotterelweirError | None:
        """Returns the refusal of a call that must not reach a service.

        Args:
            key: Key of the call.
            request_id: Name of the call, for logs.
        """
        now_s = self._timer.elapsed_s()
        block = self._quarantine.find_block(key, now_s)
        if block is None:
            return None
        tried_s = self._tried_s.get(key, -math.inf)
        if now_s >= block.trial_s and now_s - tried_s >= _TRIAL_INTERVAL_S:
            self._tried_s.put(key, now_s)
            events.log(
                LOG, events.REQUEST_TRIED, request_id=request_id, key=key
            )
            return None
        events.log(
            LOG,
            events.REQUEST_BLOCKED,
            request_id=request_id,
            key=key,
            ends=block.ends,
        )
        open_s = min(block.trial_s, block.until_s)
        return errors.DotterelweirError(
            errors.ErrorKind.REQUEST_BLOCKED,
            retry_after_s=max(1.0, open_s - now_s),
        )
