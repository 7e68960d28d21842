"""Online estimates of how many tokens an output still needs.

Lengths are learned by route and organisation. A pair that is new falls back
to its route, and a new route to a default. Estimates depend on what was
already produced: with heavy tails an output that has run long is expected to
run longer still.
"""

import collections

import attrs
import hdrh.histogram

from dotterelweir_core import newest

_TOKENS_MAX = 1 << 20
# One significant digit keeps a histogram below 4 KB; the estimate is far
# less certain than that anyway.
_SIGNIFICANT_DIGITS = 1
# Below this many ended outputs a pair is described by its route.
_SAMPLES_MIN = 20
_REFRESH_EVERY = 20
# After this many samples the older half is forgotten.
_GENERATION_SAMPLES = 500
# Estimates change at these ages: 0, 16, 32, 64, and so on.
_FIRST_AGE_SHIFT = 4
_AGE_COUNT = 14
# The rest that is expected of an output that is longer than all before it,
# as a share of what it has produced.
_TAIL_RATIO = 0.5
# If one output in four is short, a route mixes short and long work; if one
# in seven is long, it does not count as short.
_LOW_PERCENTILE = 0.25
_HIGH_PERCENTILE = 0.85


def age_index(produced_tokens: int) -> int:
    """The index of the estimate that applies after some tokens."""
    return min(
        _AGE_COUNT - 1, (produced_tokens >> _FIRST_AGE_SHIFT).bit_length()
    )


def next_age(produced_tokens: int) -> int:
    """The number of tokens at which the estimate changes next."""
    index = age_index(produced_tokens)
    if index >= _AGE_COUNT - 1:
        return produced_tokens + _TOKENS_MAX
    return 1 << (_FIRST_AGE_SHIFT + index)


@attrs.frozen
class LengthProfile:
    """What is expected of the outputs of one route and organisation.

    Attributes:
        mean_rest: Mean tokens still to come, by index of age.
        low: A low percentile of the whole output.
        high: A high percentile of the whole output.
        samples: Ended outputs that it rests on.
    """

    mean_remaining: tuple[float, ...]
    low_tokens: float
    high_tokens: float
    samples: int

    def expected_remaining(self, produced_tokens: int) -> float:
        """Tokens that are expected after some were produced."""
        return self.mean_remaining[age_index(produced_tokens)]


def default_profile(expected_tokens: float) -> LengthProfile:
    """The profile of a route of which nothing is known."""
    ages = [0.0] + [float(16 << index) for index in range(_AGE_COUNT - 1)]
    return LengthProfile(
        tuple(max(expected_tokens, _TAIL_RATIO * age) for age in ages),
        expected_tokens / 2,
        expected_tokens * 2,
        0,
    )


def _profile(counts: list[tuple[float, int]]) -> LengthProfile:
    total = sum(count for _, count in counts)
    means = []
    for index in range(_AGE_COUNT):
        age = 0 if index == 0 else 1 << (_FIRST_AGE_SHIFT + index - 1)
        above = [(value, count) for value, count in counts if value > age]
        weight = sum(count for _, count in above)
        remaining = sum((value - age) * count for value, count in above)
        # With few samples above this age the tail rule gets more weight.
        tail = max(_TAIL_RATIO * age, 1.0)
        means.append((remaining + 2 * tail) / (weight + 2))
    low_tokens = _percentile(counts, _LOW_PERCENTILE * total)
    high_tokens = _percentile(counts, _HIGH_PERCENTILE * total)
    return LengthProfile(tuple(means), low_tokens, high_tokens, total)


def _percentile(counts: list[tuple[float, int]], rank: float) -> float:
    cumulative = 0
    for value, count in counts:
        cumulative += count
        if cumulative >= rank:
            return value
    return 1.0


class _LengthHistory:
    """The outputs of one key, in two generations.

    The older generation is kept as a list of values and counts, which takes
    far less memory than a histogram.
    """

    def __init__(self) -> None:
        self._current = _histogram()
        self._previous: tuple[tuple[float, int], ...] = ()
        self.profile: LengthProfile | None = None

    def record(self, tokens: int) -> None:
        self._current.record_value(min(max(tokens, 1), _TOKENS_MAX))
        samples = self._current.get_total_count()
        if samples % _REFRESH_EVERY == 0:
            counts = collections.Counter(dict(self._previous))
            counts.update(_counts(self._current))
            self.profile = _profile(sorted(counts.items()))
        if samples >= _GENERATION_SAMPLES:
            self._previous = tuple(_counts(self._current).items())
            self._current = _histogram()


def _histogram() -> hdrh.histogram.HdrHistogram:
    return hdrh.histogram.HdrHistogram(1, _TOKENS_MAX, _SIGNIFICANT_DIGITS)


def _counts(histogram: hdrh.histogram.HdrHistogram) -> dict[float, int]:
    counts = {}
    for item in histogram.get_recorded_iterator():
        reached = item.value_iterated_to
        low_tokens = histogram.get_lowest_equivalent_value(reached)
        high_tokens = histogram.get_highest_equivalent_value(reached)
        counts[(low_tokens + high_tokens) / 2] = (
            item.count_added_in_this_iter_step
        )
    return counts


class LengthEstimator:
    """Learns output lengths by route and organisation.

    Args:
        default_tokens: Output that is expected while nothing is known.
        pairs_max: Pairs of route and organisation that are remembered.
    """

    def __init__(self, default_tokens: int, pairs_max: int = 1_024) -> None:
        self._default = default_profile(float(default_tokens))
        self._routes: dict[str, _LengthHistory] = {}
        self._pairs: newest.NewestMap[tuple[str, str], _LengthHistory] = (
            newest.NewestMap(pairs_max)
        )

    def record(self, route: str, organisation: str, tokens: int) -> None:
        """Takes note of the length of an output that ended by itself."""
        entry = self._routes.get(route)
        if entry is None:
            entry = self._routes[route] = _LengthHistory()
        entry.record(tokens)
        key = (route, organisation)
        pair = self._pairs.get(key)
        if pair is None:
            pair = _LengthHistory()
        self._pairs.put(key, pair)
        pair.record(tokens)

    def profile(self, route: str, organisation: str) -> LengthProfile:
        """What is expected of a route and organisation."""
        pair = self._pairs.get((route, organisation))
        if (
            pair is not None
            and pair.profile is not None
            and pair.profile.samples >= _SAMPLES_MIN
        ):
            return pair.profile
        entry = self._routes.get(route)
        if entry is not None and entry.profile is not None:
            return entry.profile
        return self._default
