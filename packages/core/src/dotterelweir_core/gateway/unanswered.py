"""Requests that ended without an answer at targets that may have ended.

A target that loses its power sends nothing: open connections get no more
bytes, and new ones hang. A slow target, a cut link and a caller that gives up
look the same at first. What tells them apart comes later: another start of
the target, or the removal of its entry while no connection to it is made.
"""

from collections.abc import Collection
import enum
from typing import Generic
from typing import TypeVar

import attrs

from dotterelweir_core import bounded_map
from dotterelweir_core.gateway import targets

# Time for which a request is remembered after it was given up, in seconds. An
# entry goes after three heartbeats, and a target returns within some seconds.
_RETENTION_S = 15.0
# Time after an answer of a target within which another start of it may still
# become known, in seconds. The answer may come from that start.
_START_LAG_S = 2.0
# Maximum number of targets, and of requests at each, that are remembered; the
# oldest targets are evicted first. They bound the memory that callers take
# whose requests get no answer.
_TARGETS_MAX = 128
_REQUESTS_MAX = 32

R = TypeVar('R')


class Sign(enum.Enum):
    """Sign of the end of a target."""

    REFUSED = 'refused'
    RESTARTED = 'restarted'
    REMOVED = 'removed'
    SILENT = 'silent'
    # The opposite: a target that was removed registered again as it was.
    RETURNED = 'returned'


@attrs.frozen
class Unanswered(Generic[R]):
    """A request that ended without an answer.

    Attributes:
        request: The request.
        heard_s: Time at which its target was heard last, or the request was
            sent, in seconds.
        given_up_s: Time at which it ended here, in seconds.
    """

    request: R
    heard_s: float
    given_up_s: float


@attrs.define
class _SuspectedTarget(Generic[R]):
    """Requests without an answer at one start of a target.

    Attributes:
        target: The target.
        requests: The requests.
        answered_s: Time of the first answer after one was given up, in
            seconds; None without one.
    """

    target: targets.Target
    requests: list[Unanswered[R]] = attrs.field(factory=list)
    answered_s: float | None = None


class UnansweredRequests(Generic[R]):
    """Remembers requests without an answer until their target is judged.

    All times are those of a clock that counts suspensions of the machine.
    """

    def __init__(self) -> None:
        self._suspected: bounded_map.BoundedMap[str, _SuspectedTarget[R]] = (
            bounded_map.BoundedMap(_TARGETS_MAX)
        )
        # Targets that were removed without having announced that they leave.
        self._removed: bounded_map.BoundedMap[str, targets.Target] = (
            bounded_map.BoundedMap(_TARGETS_MAX)
        )

    def record(
        self,
        target: targets.Target,
        request: Unanswered[R],
        registered: targets.Target | None,
        now_s: float,
    ) -> Sign | None:
        """Records a request that ended without an answer.

        Args:
            target: Its target, as it was registered at the send.
            request: The request.
            registered: The target as it is registered now, if it is.
            now_s: Time, in seconds.

        Returns:
            The sign of an end that is known already, see ``sign_of``.
        """
        target_id = target.target_id
        suspected = self._current(target_id, now_s)
        if (
            suspected is None
            or suspected.target.started_ms != target.started_ms
            or suspected.answered_s is not None
        ):
            suspected = _SuspectedTarget(target)
        self._suspected.put(target_id, suspected)
        if len(suspected.requests) < _REQUESTS_MAX:
            suspected.requests.append(request)
        if registered is not None:
            return _sign_of_start(target, registered)
        removed = self._removed.get(target_id)
        if removed is not None and removed.started_ms == target.started_ms:
            return Sign.REMOVED
        return None

    def record_answer(self, target: targets.Target, now_s: float) -> None:
        """Records that a target has answered a request.

        Args:
            target: The target.
            now_s: Time, in seconds.
        """
        suspected = self._suspected.get(target.target_id)
        if suspected is not None and suspected.answered_s is None:
            suspected.answered_s = now_s

    def sign_of(
        self, change: targets.TargetChange, now_s: float
    ) -> Sign | None:
        """Returns the sign of an end in a change of a target.

        Args:
            change: The change.
            now_s: Time, in seconds.

        Returns:
            ``RESTARTED`` is certain; ``REMOVED`` needs a test whether the
            target still accepts connections, and ``RETURNED`` shows that a
            target that was removed had not ended. None if the change is no
            sign, or no request without an answer was there.
        """
        before, after = change.before, change.after
        if before is not None and before.state is targets.TargetState.DRAINING:
            # It had announced that it leaves.
            if after is None or after.started_ms != before.started_ms:
                self._suspected.pop(change.target_id, None)
            return None
        if after is None:
            if before is not None:
                self._removed.put(change.target_id, before)
            return self._sign_of_removal(change.target_id, before, now_s)
        removed = self._removed.pop(change.target_id, None)
        if removed is not None and removed.started_ms == after.started_ms:
            self._suspected.pop(change.target_id, None)
            return Sign.RETURNED
        suspected = self._current(change.target_id, now_s)
        if suspected is None:
            return None
        return _sign_of_start(suspected.target, after)

    def _sign_of_removal(
        self, target_id: str, before: targets.Target | None, now_s: float
    ) -> Sign | None:
        suspected = self._current(target_id, now_s)
        if suspected is None or suspected.answered_s is not None:
            return None
        if before is None or before.started_ms != suspected.target.started_ms:
            return None
        return Sign.REMOVED

    def discard(self, target: targets.Target, requests: Collection[R]) -> None:
        """Forgets requests whose target was reported as ended.

        Args:
            target: The target.
            requests: The requests.
        """
        suspected = self._suspected.get(target.target_id)
        if (
            suspected is not None
            and suspected.target.started_ms == target.started_ms
        ):
            suspected.requests = [
                request
                for request in suspected.requests
                if request.request not in requests
            ]

    def pending(self, target: targets.Target, now_s: float) -> bool:
        """Whether requests without an answer are remembered at a target.

        Not if it has answered another request since.

        Args:
            target: The target.
            now_s: Time, in seconds.
        """
        suspected = self._current(target.target_id, now_s)
        return (
            suspected is not None
            and suspected.answered_s is None
            and suspected.target.started_ms == target.started_ms
        )

    def take(
        self, target_id: str, now_s: float
    ) -> tuple[targets.Target, tuple[Unanswered[R], ...]] | None:
        """Removes and returns what is remembered of a target.

        Args:
            target_id: Id of the target.
            now_s: Time, in seconds.

        Returns:
            The start that the requests were at, and the requests; None if
            nothing is remembered.
        """
        suspected = self._current(target_id, now_s)
        if suspected is None:
            return None
        del self._suspected[target_id]
        return suspected.target, tuple(suspected.requests)

    def _current(
        self, target_id: str, now_s: float
    ) -> _SuspectedTarget[R] | None:
        """Returns what is remembered of a target, without what is too old."""
        suspected = self._suspected.get(target_id)
        if suspected is None:
            return None
        suspected.requests = [
            request
            for request in suspected.requests
            if now_s - request.given_up_s <= _RETENTION_S
        ]
        answered_s = suspected.answered_s
        if not suspected.requests or (
            answered_s is not None and now_s - answered_s > _START_LAG_S
        ):
            del self._suspected[target_id]
            return None
        return suspected


def _sign_of_start(
    target: targets.Target, registered: targets.Target
) -> Sign | None:
    """Returns whether a later start of a target is registered."""
    if registered.started_ms > target.started_ms > 0:
        return Sign.RESTARTED
    return None


def end_s(requests: tuple[Unanswered[R], ...]) -> float:
    """Returns the estimated time of the end of a target, in seconds.

    Args:
        requests: Requests that were there without an answer; at least one.
    """
    return min(request.heard_s for request in requests)
