"""Judges which parts of prompts explain the ends of engines.

Of the requests in flight at an engine that ended, one may be to blame, or
none: engines also end for reasons of their own. The parts that several ends
have in common are blamed, the largest common set first, so that an end which
has less in common with the others does not widen the blame to sound requests.
Ends at about the same moment have a common cause more often than a common
part, so they count once.
"""

from collections.abc import Iterable
import itertools

import attrs

# Ends that must have parts in common: parts that no engine has ever written
# with, and parts that engines have written with before these ends.
_ENDS_MIN = 2
_ENDS_MIN_WRITTEN = 3
# Time by which ends with different causes are apart, in seconds. Ends are
# detected up to a quarter of a second late.
_SAME_CAUSE_S = 0.5
# Maximum number of blocks that share parts and are blamed on these.
_MERGED_MAX = 16


@attrs.frozen
class Suspect:
    """A request in flight at an engine that ended, before its first event.

    Attributes:
        request_id: Id of the request.
        end: Id of the engine, and the number of its end.
        ended_s: Time of the end, in seconds.
        parts: Shared parts of its prompt that no engine has written with
            since.
        new_parts: Those of them that no engine has ever written with.
    """

    request_id: str
    end: tuple[str, int]
    ended_s: float
    parts: frozenset[str]
    new_parts: frozenset[str]


@attrs.frozen
class Blame:
    """Parts that explain several ends.

    Attributes:
        parts: The parts; a request with all of them is to blame.
        ends_s: Times of the ends, in seconds, ascending.
        ends_min: Number of ends that were needed.
    """

    parts: frozenset[str]
    ends_s: tuple[float, ...]
    ends_min: int


def find_blames(suspects: Iterable[Suspect]) -> tuple[Blame, ...]:
    """Returns what explains the ends of the engines of some requests.

    Args:
        suspects: The requests.
    """
    suspects = tuple(suspects)
    by_new_parts = [(suspect, suspect.new_parts) for suspect in suspects]
    blames = _merge(_blame(by_new_parts, _ENDS_MIN), by_new_parts)
    explained = {
        suspect.end
        for suspect, parts in by_new_parts
        if any(blame.parts <= parts for blame in blames)
    }
    # A part with which engines have written may end them later, for instance
    # with a new version of the engines.
    rest = [
        (suspect, suspect.parts)
        for suspect in suspects
        if suspect.end not in explained
    ]
    return (*blames, *_blame(rest, _ENDS_MIN_WRITTEN))


_Row = tuple[Suspect, frozenset[str]]


def _blame(rows: list[_Row], ends_min: int) -> list[Blame]:
    """Blames the largest sets of parts that enough ends have in common."""
    candidates = {
        parts & other_parts
        for (suspect, parts), (other, other_parts) in itertools.combinations(
            rows, 2
        )
        if suspect.end != other.end
    }
    blames = []
    for common in sorted(
        filter(None, candidates),
        key=lambda parts: (-len(parts), sorted(parts)),
    ):
        matching = [suspect for suspect, parts in rows if common <= parts]
        if _count_causes(matching) < ends_min:
            continue
        blames.append(Blame(common, _end_times_s(matching), ends_min))
        explained = {suspect.end for suspect in matching}
        rows = [row for row in rows if row[0].end not in explained]
    return blames


def _merge(blames: list[Blame], rows: list[_Row]) -> list[Blame]:
    """Adds blames of the parts that several blames have in common."""
    merged = list(blames)
    known = {blame.parts for blame in blames}
    for first, second in itertools.combinations(blames, 2):
        common = first.parts & second.parts
        if not common or common in known or len(merged) >= _MERGED_MAX:
            continue
        known.add(common)
        matching = [suspect for suspect, parts in rows if common <= parts]
        merged.append(Blame(common, _end_times_s(matching), _ENDS_MIN))
    return merged


def _end_times_s(suspects: list[Suspect]) -> tuple[float, ...]:
    return tuple(
        sorted({suspect.end: suspect.ended_s for suspect in suspects}.values())
    )


def _count_causes(suspects: list[Suspect]) -> int:
    """Returns the number of ends that do not have one cause of their own.

    Ends at the same moment count once, unless one request was at them: it
    was sent to the second engine after the first one had ended.
    """
    ends: dict[str, set[tuple[str, int]]] = {}
    for suspect in suspects:
        ends.setdefault(suspect.request_id, set()).add(suspect.end)
    moments = 0
    last_s = float('-inf')
    for ended_s in _end_times_s(suspects):
        if ended_s - last_s >= _SAME_CAUSE_S:
            moments += 1
            last_s = ended_s
    return max([moments, *map(len, ends.values())])
