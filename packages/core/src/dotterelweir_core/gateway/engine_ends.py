"""Requests in flight at targets that ended, merged from all instances.

A request may end each target that begins to run it. It is recognised by its
key, a digest of its path, caller and body: other attempts of it have other
ids.
"""

from collections.abc import Iterator
import hashlib
import math

import attrs

from dotterelweir_core import bounded_map

# Size of the key of a request, in bytes.
_KEY_BYTES = 12
# Two reports about one start of a target that are closer are about the same
# end, in seconds. A target that starts again under its id needs longer.
_SAME_END_S = 2.0
# Time for which an end is remembered, in seconds.
_RETENTION_S = 600.0
# Maximum number of ends, and of requests of each, that are remembered.
_ENDS_MAX = 256
_KEYS_MAX = 128
# Maximum number of requests in one report, so that it fits a datagram.
_KEYS_PER_REPORT = 24


@attrs.frozen
class EndReport:
    """A target's end, and requests that were in flight there.

    Attributes:
        target_id: Id of the target.
        started_ms: Wall time of its start, in milliseconds; 0 if unknown.
        keys: Keys of requests that one instance had in flight there.
        age_s: Time since the end, in seconds.
    """

    target_id: str
    started_ms: int
    keys: frozenset[str]
    age_s: float = 0.0

    def split(self) -> tuple['EndReport', ...]:
        """Returns reports with the same content that each fit a datagram."""
        keys = sorted(self.keys)
        return tuple(
            attrs.evolve(self, keys=frozenset(keys[first:][:_KEYS_PER_REPORT]))
            for first in range(0, len(keys), _KEYS_PER_REPORT)
        )


@attrs.define
class TargetEnd:
    """The end of a target.

    Attributes:
        target_id: Id of the target.
        started_ms: Wall time of its start, in milliseconds; 0 if unknown.
        ended_s: Time of the end, in seconds.
        keys: Keys of requests that were in flight there.
    """

    target_id: str
    started_ms: int
    ended_s: float
    keys: set[str]


def request_key(host: str, path: str, caller: str, body: bytes) -> str:
    """Returns the key of a request.

    Args:
        host: Host that the request is addressed to.
        path: Path and query.
        caller: Name of the caller's organisation.
        body: The whole body.
    """
    digest = hashlib.blake2b(digest_size=_KEY_BYTES)
    for field in (host, path, caller):
        encoded = field.encode('utf-8', 'surrogateescape')
        digest.update(len(encoded).to_bytes(4) + encoded)
    digest.update(body)
    return digest.hexdigest()


class EndRegistry:
    """The ends of targets that any instance has seen.

    Times are those of a clock that counts suspensions of the machine.
    """

    def __init__(self) -> None:
        self._ends: list[TargetEnd] = []
        # Times at which targets whose end was reported turned out to live, in
        # seconds, by id and start.
        self._lived_s: bounded_map.BoundedMap[tuple[str, int], float] = (
            bounded_map.BoundedMap(_ENDS_MAX)
        )

    def apply(self, report: EndReport, now_s: float) -> bool:
        """Applies a report of any instance.

        Args:
            report: The report.
            now_s: Time, in seconds.

        Returns:
            Whether it names an end, or a request of one, that was unknown.
        """
        self.expire(now_s)
        ended_s = now_s - report.age_s
        if not report.keys or ended_s + _RETENTION_S <= now_s:
            return False
        start = (report.target_id, report.started_ms)
        if ended_s <= self._lived_s.get(start, -math.inf):
            return False
        for end in self._ends:
            if (end.target_id, end.started_ms) == (
                report.target_id,
                report.started_ms,
            ) and abs(end.ended_s - ended_s) < _SAME_END_S:
                return self._add_keys(end, report.keys)
        end = TargetEnd(report.target_id, report.started_ms, ended_s, set())
        self._add_keys(end, report.keys)
        self._ends.append(end)
        del self._ends[:-_ENDS_MAX]
        return True

    def retract(self, target_id: str, started_ms: int, now_s: float) -> bool:
        """Forgets the ends of a start of a target that has not ended.

        Args:
            target_id: Id of the target.
            started_ms: Wall time of its start, in milliseconds.
            now_s: Time, in seconds.

        Returns:
            Whether an end was known.
        """
        self._lived_s.put((target_id, started_ms), now_s)
        kept = [
            end
            for end in self._ends
            if (end.target_id, end.started_ms) != (target_id, started_ms)
        ]
        changed = len(kept) < len(self._ends)
        self._ends = kept
        return changed

    def _add_keys(self, end: TargetEnd, keys: frozenset[str]) -> bool:
        suspected = set().union(*(other.keys for other in self._ends))
        # A request that was at another end goes first.
        new = sorted(
            keys - end.keys, key=lambda key: (key not in suspected, key)
        )[: _KEYS_MAX - len(end.keys)]
        end.keys.update(new)
        return bool(new)

    def expire(self, now_s: float) -> None:
        """Forgets ends that are too old.

        Args:
            now_s: Time, in seconds.
        """
        if self._ends and self._ends[0].ended_s + _RETENTION_S <= now_s:
            self._ends = [
                end for end in self._ends if end.ended_s + _RETENTION_S > now_s
            ]

    def __iter__(self) -> Iterator[TargetEnd]:
        """Returns the ends, the oldest first."""
        return iter(self._ends)

    def __len__(self) -> int:
        return len(self._ends)

    def reports(
        self, keys: frozenset[str], now_s: float
    ) -> tuple[EndReport, ...]:
        """Returns reports of the ends of some requests, the oldest first.

        Args:
            keys: Keys of the requests; others are left out.
            now_s: Time, in seconds.
        """
        self.expire(now_s)
        return tuple(
            report
            for end in self._ends
            for report in EndReport(
                end.target_id,
                end.started_ms,
                keys & end.keys,
                now_s - end.ended_s,
            ).split()
        )

    @staticmethod
    def forgotten_s(end: TargetEnd) -> float:
        """Returns the time at which an end is forgotten, in seconds."""
        return end.ended_s + _RETENTION_S
