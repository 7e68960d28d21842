"""Blocks requests under which several targets have ended.

Of the requests in flight at a target that ended, one is to blame. A request
is blocked once several ends have it in common and nothing else explains them:
a request that a target has answered since is cleared, and the ends of a
blocked request are not held against others that were in flight there. Targets
may also end together for a reason of their own, so a blocked request is tried
once more.
"""

import itertools
import math
import zlib

import attrs

from dotterelweir_core import bounded_map
from dotterelweir_core.gateway import engine_ends

# Ends that a request must have in common before it is blocked. A request and
# its repeats may by chance be at two targets that another one ends.
_ENDS_MIN = 3
# Time after the last end from which a blocked request is tried once, in
# seconds: one that was answered at some time before, and any other one.
_TRIAL_DELAY_S = 5.0
_UNANSWERED_TRIAL_DELAY_S = 30.0
# Maximum number of requests whose last answer is remembered; the oldest are
# evicted first.
_ANSWERED_MAX = 4_096


@attrs.frozen
class SoundRequest:
    """States that a target has answered a request.

    Attributes:
        key: Key of the request.
        age_s: Time since the answer, in seconds.
    """

    key: str
    age_s: float = 0.0


@attrs.frozen
class Block:
    """Why a request is blocked.

    Attributes:
        ends: Number of targets that ended under it.
        until_s: Time at which the block ends, in seconds.
        trial_s: Time from which the request may be tried once, in seconds;
            infinite if a target has ended in a trial.
    """

    ends: int
    until_s: float
    trial_s: float


Finding = engine_ends.EndReport | SoundRequest


class RequestQuarantine:
    """Requests that are suspected of ending targets.

    Instances share what they find, as each of them sees few of the ends. All
    times are those of a clock that counts suspensions of the machine.
    """

    def __init__(self) -> None:
        self._ends = engine_ends.EndRegistry()
        # Time of the last answer to a request at this instance, and of the
        # last one that any instance has stated, by key.
        self._answered_s: bounded_map.BoundedMap[str, float] = (
            bounded_map.BoundedMap(_ANSWERED_MAX)
        )
        self._stated_s: bounded_map.BoundedMap[str, float] = (
            bounded_map.BoundedMap(_ANSWERED_MAX)
        )
        self._blocks: dict[str, Block] = {}

    def apply(self, finding: Finding, now_s: float) -> bool:
        """Applies a finding of any instance.

        Args:
            finding: The finding.
            now_s: Time, in seconds.

        Returns:
            Whether it was new.
        """
        match finding:
            case engine_ends.EndReport():
                changed = self._ends.apply(finding, now_s)
            case SoundRequest(key, age_s):
                answered_s = now_s - age_s
                changed = answered_s > self._stated_s.get(key, -math.inf)
                if changed:
                    self._stated_s.put(key, answered_s)
        if changed:
            self._judge()
        return changed

    def retract_end(
        self, target_id: str, started_ms: int, now_s: float
    ) -> None:
        """Forgets the end of a target that has not ended.

        Args:
            target_id: Id of the target.
            started_ms: Wall time of its start, in milliseconds.
            now_s: Time, in seconds.
        """
        if self._ends.retract(target_id, started_ms, now_s):
            self._judge()

    def record_answer(self, key: str, now_s: float) -> None:
        """Records that a target has answered a request of this instance.

        Args:
            key: Key of the request.
            now_s: Time, in seconds.
        """
        self._answered_s.put(key, now_s)
        if key in self._blocks:
            self._judge()

    def unstated_answer(self, key: str, now_s: float) -> SoundRequest | None:
        """Returns an answer that the other instances should know of.

        Args:
            key: Key of a request.
            now_s: Time, in seconds.

        Returns:
            The answer; None if there is none, if the request is not
            suspected, or if a later answer would change nothing.
        """
        answered_s = self._answered_s.get(key)
        if answered_s is None:
            return None
        ends_s = [end.ended_s for end in self._ends if key in end.keys]
        if not ends_s:
            return None
        stated_s = self._stated_s.get(key)
        if stated_s is not None and (
            stated_s >= max(ends_s) or answered_s <= max(ends_s)
        ):
            return None
        return SoundRequest(key, now_s - answered_s)

    def find_block(self, key: str, now_s: float) -> Block | None:
        """Returns why a request must not be sent to a target.

        Args:
            key: Key of the request.
            now_s: Time, in seconds.

        Returns:
            The block; None if the request may be sent.
        """
        block = self._blocks.get(key)
        if block is not None and block.until_s <= now_s:
            self._ends.expire(now_s)
            self._judge()
            block = self._blocks.get(key)
        return block

    def findings(self, count: int, now_s: float) -> tuple[Finding, ...]:
        """Returns what an instance that has started must know.

        Args:
            count: Maximum number of findings.
            now_s: Time, in seconds.
        """
        keys = self._repeated_keys()
        reports = self._ends.reports(keys, now_s)
        answers = (
            SoundRequest(key, now_s - self._stated_s[key])
            for key in sorted(keys)
            if key in self._stated_s
        )
        return (*answers, *reports)[-count:]

    @property
    def fingerprint(self) -> int:
        """Checksum of the blocked requests; 0 for none."""
        if not self._blocks:
            return 0
        return zlib.crc32(repr(sorted(self._blocks)).encode())

    def _repeated_keys(self) -> frozenset[str]:
        """Returns the keys of requests at two ends or more."""
        seen: set[str] = set()
        repeated: set[str] = set()
        for end in self._ends:
            repeated |= seen & end.keys
            seen |= end.keys
        return frozenset(repeated)

    def _judge(self) -> None:
        """Decides anew which requests are blocked.

        The request with most ends is blamed for these; of several, the one
        that has never been answered. What remains of the ends is judged
        likewise.
        """
        unexplained: dict[str, set[int]] = {}
        ends = list(self._ends)
        for index, end in enumerate(ends):
            for key in end.keys:
                if end.ended_s > self._last_answered_s(key):
                    unexplained.setdefault(key, set()).add(index)
        self._blocks = {}
        while unexplained:
            culprit = max(
                unexplained,
                key=lambda key: (
                    len(unexplained[key]),
                    key not in self._stated_s,
                ),
            )
            explained = set(unexplained[culprit])
            if len(explained) < _ENDS_MIN:
                return
            sound = culprit in self._stated_s
            block = self._block([ends[index] for index in explained], sound)
            for key, indices in list(unexplained.items()):
                # Requests at the same ends cannot be told apart.
                if indices == explained and (key in self._stated_s) == sound:
                    self._blocks[key] = block
                    del unexplained[key]
                    continue
                indices -= explained
                if not indices:
                    del unexplained[key]

    def _last_answered_s(self, key: str) -> float:
        """Returns the time of the last known answer to a request."""
        return max(
            self._answered_s.get(key, -math.inf),
            self._stated_s.get(key, -math.inf),
        )

    def _block(
        self, ends: list[engine_ends.TargetEnd], was_answered: bool
    ) -> Block:
        delay_s = _TRIAL_DELAY_S if was_answered else _UNANSWERED_TRIAL_DELAY_S
        ends_s = sorted(end.ended_s for end in ends)
        # An end that came alone after the first ones was that of a trial.
        blocked_ends_s = ends_s[_ENDS_MIN - 1 :]
        tried = any(
            later_s - earlier_s >= delay_s
            for earlier_s, later_s in itertools.pairwise(blocked_ends_s)
        )
        return Block(
            len(ends),
            max(map(self._ends.forgotten_s, ends)),
            math.inf if tried else ends_s[-1] + delay_s,
        )
