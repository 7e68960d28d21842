"""Detects parts of prompts that crash engines, and blocks requests with them.

A part of a prompt may crash each engine that begins to write an answer on it.
A request is suspected if its engine ended before the first event. A request is
blocked if it has all the parts that explain the ends of several engines, see
``prompt_blame``, so that sound requests that share some of them are still
served. A part with which any engine has written an event since is cleared.
Engines may also end for other reasons, so blocked requests are tried now and
then.
"""

from collections.abc import Iterable
import itertools
import math

import attrs

from dotterelweir_core import bounded_map
from dotterelweir_core.gateway import prompt_blame

# Time for which a crash is remembered, in seconds. Blocked requests cannot
# show that their part has become harmless, for instance with a new version
# of the engines.
_RETENTION_S = 600.0
# Maximum number of crashes that are remembered; the oldest are evicted first.
_CRASHES_MAX = 64
# Maximum number of parts whose last event is remembered; the oldest are
# evicted first.
_WRITTEN_MAX = 4_096
# Maximum number of parts of a prompt that are suspected. Parts that engines
# have written with are left out first.
_PARTS_MAX = 256
# Time after the last end from which a blocked request is tried, in seconds:
# for the first trial, and for the second one after an end in the first. A
# prompt that ends engines in both is not tried again.
_TRIAL_DELAYS_S = (3.0, 30.0)
# Ends of one engine that are closer are the same end, in seconds. An engine
# that starts again under its id needs longer.
_SAME_END_S = 2.0


@attrs.frozen
class PromptCrash:
    """A suspected request and the engine that ended under it.

    Attributes:
        request_id: Id of the request.
        target_id: Id of the engine.
        parts: Shared parts of the prompt.
        age_s: Time since the end, in seconds.
    """

    request_id: str
    target_id: str
    parts: frozenset[str]
    age_s: float = attrs.field(default=0.0, eq=False)


@attrs.frozen
class SoundParts:
    """Parts with which engines have written an event.

    Attributes:
        ages_s: Time since the last event, in seconds, by part.
    """

    ages_s: dict[str, float]


Finding = PromptCrash | SoundParts


@attrs.frozen
class Block:
    """Why a request is blocked.

    Attributes:
        parts: The parts that explain the ends of engines.
        engines: Number of engines that ended.
        until_s: Time at which the block ends, in seconds.
        trial_s: Time from which a request may be tried, in seconds; infinite
            if engines have ended in all trials.
    """

    parts: frozenset[str]
    engines: int
    until_s: float
    trial_s: float


@attrs.define
class _Suspicion:
    """A crash, with the parts of the prompt that are not cleared.

    Attributes:
        crash: The crash as it was reported.
        ended_s: Time of the end, in seconds.
        parts: Parts that its sender had not cleared.
    """

    crash: PromptCrash
    ended_s: float
    parts: frozenset[str]


class PromptQuarantine:
    """Ends of engines that prompts are suspected of.

    Instances share what they find, because the ends that one part causes are
    spread over all of them. All times are those of a clock that counts
    suspensions of the machine.
    """

    def __init__(self) -> None:
        self._suspicions: bounded_map.BoundedMap[
            tuple[str, str], _Suspicion
        ] = bounded_map.BoundedMap(_CRASHES_MAX)
        # Time of the last event with a part at this instance, and of the last
        # one that any instance has stated.
        self._written_s: bounded_map.BoundedMap[str, float] = (
            bounded_map.BoundedMap(_WRITTEN_MAX)
        )
        self._stated_s: bounded_map.BoundedMap[str, float] = (
            bounded_map.BoundedMap(_WRITTEN_MAX)
        )
        self._blocks: tuple[Block, ...] = ()
        # Times at which targets whose end was reported turned out to live, in
        # seconds, by id.
        self._lived_s: bounded_map.BoundedMap[str, float] = (
            bounded_map.BoundedMap(_CRASHES_MAX)
        )

    def retract_end(self, target_id: str, now_s: float) -> None:
        """Forgets the end of a target that has not ended.

        Args:
            target_id: Id of the target.
            now_s: Time, in seconds.
        """
        self._lived_s.put(target_id, now_s)
        retracted = [key for key in self._suspicions if key[1] == target_id]
        for key in retracted:
            del self._suspicions[key]
        if retracted:
            self._judge()

    def suspected_parts(self, parts: Iterable[str]) -> frozenset[str]:
        """Returns the parts of a prompt that an end is held against.

        Args:
            parts: Shared parts of the prompt.
        """
        by_evidence = sorted(
            parts, key=lambda part: self._last_written_s(part) > -math.inf
        )
        return frozenset(by_evidence[:_PARTS_MAX])

    def apply(self, finding: Finding, now_s: float) -> bool:
        """Applies a finding of any instance.

        Args:
            finding: The finding.
            now_s: Time, in seconds.

        Returns:
            Whether it was new.
        """
        match finding:
            case PromptCrash():
                changed = self._add(finding, now_s)
            case SoundParts(ages_s):
                changed = False
                for part, age_s in ages_s.items():
                    written_s = now_s - age_s
                    if written_s > self._stated_s.get(part, -math.inf):
                        self._stated_s.put(part, written_s)
                        changed = True
        if changed:
            self._judge()
        return changed

    def _add(self, crash: PromptCrash, now_s: float) -> bool:
        self._expire(now_s)
        key = (crash.request_id, crash.target_id)
        known = self._suspicions.get(key)
        if known is not None:
            # The sender may know of parts that were cleared meanwhile.
            known.parts &= crash.parts
            self._judge()
            return False
        ended_s = now_s - crash.age_s
        if not crash.parts or ended_s + _RETENTION_S <= now_s:
            return False
        if ended_s <= self._lived_s.get(crash.target_id, -math.inf):
            return False
        self._suspicions.put(key, _Suspicion(crash, ended_s, crash.parts))
        return True

    def _expire(self, now_s: float) -> None:
        expired = [
            key
            for key, suspicion in self._suspicions.items()
            if suspicion.ended_s + _RETENTION_S <= now_s
        ]
        for key in expired:
            del self._suspicions[key]
        if expired:
            self._judge()

    def record_written(self, parts: Iterable[str], now_s: float) -> None:
        """Records an event that an engine has written for this instance.

        Args:
            parts: Shared parts of the request's prompt.
            now_s: Time, in seconds.
        """
        changed = False
        for part in parts:
            previous_s = self._last_written_s(part)
            self._written_s.put(part, now_s)
            changed = changed or any(
                part in suspicion.parts and previous_s <= suspicion.ended_s
                for suspicion in self._suspicions.values()
            )
        if changed:
            self._judge()

    def unstated(self, now_s: float) -> SoundParts | None:
        """Returns the events that the other instances should know of.

        Args:
            now_s: Time, in seconds.

        Returns:
            The parts that are suspected, and with which an engine has
            written an event for this instance; None if the other instances
            know enough of each.
        """
        last_end_s: dict[str, float] = {}
        for suspicion in self._suspicions.values():
            for part in suspicion.parts:
                last_end_s[part] = max(
                    suspicion.ended_s, last_end_s.get(part, -math.inf)
                )
        ages_s = {}
        for part, end_s in last_end_s.items():
            written_s = self._written_s.get(part)
            stated_s = self._stated_s.get(part)
            if written_s is None:
                continue
            if stated_s is None or stated_s <= end_s < written_s:
                ages_s[part] = now_s - written_s
        return SoundParts(ages_s) if ages_s else None

    def _last_written_s(self, part: str) -> float:
        return max(
            self._written_s.get(part, -math.inf),
            self._stated_s.get(part, -math.inf),
        )

    def _uncleared(self, suspicion: _Suspicion) -> frozenset[str]:
        return frozenset(
            part
            for part in suspicion.parts
            if self._last_written_s(part) <= suspicion.ended_s
        )

    def _judge(self) -> None:
        """Decides anew which prompts are blocked."""
        suspects = []
        # Time and number of the last end of each engine.
        ends: dict[str, tuple[float, int]] = {}
        for suspicion in sorted(
            self._suspicions.values(), key=lambda suspicion: suspicion.ended_s
        ):
            target_id = suspicion.crash.target_id
            last_s, number = ends.get(target_id, (-math.inf, 0))
            if suspicion.ended_s - last_s >= _SAME_END_S:
                last_s, number = suspicion.ended_s, number + 1
                ends[target_id] = last_s, number
            parts = self._uncleared(suspicion)
            new_parts = frozenset(
                part
                for part in parts
                if self._last_written_s(part) == -math.inf
            )
            suspects.append(
                prompt_blame.Suspect(
                    suspicion.crash.request_id,
                    (target_id, number),
                    last_s,
                    parts,
                    new_parts,
                )
            )
        self._blocks = tuple(
            map(_block_for, prompt_blame.find_blames(suspects))
        )

    def find_blocks(
        self, parts: Iterable[str], now_s: float
    ) -> tuple[Block, ...]:
        """Returns why a request must not be sent to an engine.

        Args:
            parts: Shared parts of the request's prompt.
            now_s: Time, in seconds.

        Returns:
            The blocks; none if the request may be sent.
        """
        if not self._blocks:
            return ()
        self._expire(now_s)
        present = frozenset(parts)
        return tuple(block for block in self._blocks if block.parts <= present)

    def crashes(self, count: int, now_s: float) -> tuple[PromptCrash, ...]:
        """Returns the newest crashes that still suspect a part.

        Args:
            count: Maximum number of crashes.
            now_s: Time, in seconds.
        """
        self._expire(now_s)
        suspected = [
            attrs.evolve(
                suspicion.crash,
                parts=parts,
                age_s=now_s - suspicion.ended_s,
            )
            for suspicion in self._suspicions.values()
            if (parts := self._uncleared(suspicion))
        ]
        return tuple(suspected[-count:])


def _block_for(blame: prompt_blame.Blame) -> Block:
    # An end that came alone after the first ones was that of a trial.
    later_s = blame.ends_s[blame.ends_min - 1 :]
    trials = sum(
        end_s - previous_s >= _TRIAL_DELAYS_S[0]
        for previous_s, end_s in itertools.pairwise(later_s)
    )
    last_s = blame.ends_s[-1]
    trial_s = math.inf
    if trials < len(_TRIAL_DELAYS_S):
        trial_s = last_s + _TRIAL_DELAYS_S[trials]
    # The block lasts until too few ends are remembered.
    until_s = blame.ends_s[-blame.ends_min] + _RETENTION_S
    return Block(blame.parts, len(blame.ends_s), until_s, trial_s)
