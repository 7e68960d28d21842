"""Online estimates of the remaining length of outputs.

Lengths are recorded by route and organisation. A pair without enough samples
falls back to its route, and a route without any to a default. Estimates
depend on the age of an output, which is the number of tokens that it has
produced: with a heavy-tailed distribution, the longer an output already is,
the more tokens are expected to follow.
"""

import collections

import attrs
import hdrh.histogram

from dotterelweir_core import bounded_map

_TOKENS_MAX = 1 << 20
# One significant digit keeps a histogram below 4 KB. The estimates are far
# less precise than that in any case.
_SIGNIFICANT_DIGITS = 1
# With fewer ended outputs a pair uses the profile of its route.
_SAMPLES_MIN = 20
_REFRESH_EVERY = 20
# Number of samples in one window. When the current window is full, it replaces
# the previous one.
_WINDOW_SAMPLES = 500
# Estimates change at the ages 0, 16, 32, 64 and so on, in tokens.
_FIRST_AGE_SHIFT = 4
_AGE_COUNT = 14
# Expected remaining tokens of an output that is longer than all before it,
# relative to the tokens that it has produced.
_TAIL_RATIO = 0.5
# Quantiles of the output lengths: a request is SHORT if the high one is short,
# and MEDIUM if only the low one is.
_LOW_QUANTILE = 0.25
_HIGH_QUANTILE = 0.85


def age_index(produced_tokens: int) -> int:
    """Returns the index of the estimate that applies at an age in tokens."""
    return min(
        _AGE_COUNT - 1, (produced_tokens >> _FIRST_AGE_SHIFT).bit_length()
    )


def next_age(produced_tokens: int) -> int:
    """Returns the age in tokens at which the estimate changes next."""
    index = age_index(produced_tokens)
    if index >= _AGE_COUNT - 1:
        return produced_tokens + _TOKENS_MAX
    return 1 << (_FIRST_AGE_SHIFT + index)


@attrs.frozen
class LengthProfile:
    """The distribution of output lengths of one route and organisation.

    Attributes:
        mean_remaining: Mean remaining tokens, by the index of the age.
        low_tokens: Low quantile of the whole length, in tokens.
        high_tokens: High quantile of the whole length, in tokens.
        samples: Number of ended outputs that were recorded.
    """

    mean_remaining: tuple[float, ...]
    low_tokens: float
    high_tokens: float
    samples: int

    def expected_remaining(self, produced_tokens: int) -> float:
        """Returns how many more tokens an output is expected to produce."""
        return self.mean_remaining[age_index(produced_tokens)]


def default_profile(expected_tokens: float) -> LengthProfile:
    """Returns the profile of a route without recorded outputs."""
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
        # The tail estimate counts as two samples, so that it dominates at
        # ages that few outputs reach.
        tail = max(_TAIL_RATIO * age, 1.0)
        means.append((remaining + 2 * tail) / (weight + 2))
    low_tokens = _quantile(counts, _LOW_QUANTILE * total)
    high_tokens = _quantile(counts, _HIGH_QUANTILE * total)
    return LengthProfile(tuple(means), low_tokens, high_tokens, total)


def _quantile(counts: list[tuple[float, int]], rank: float) -> float:
    cumulative = 0
    for value, count in counts:
        cumulative += count
        if cumulative >= rank:
            return value
    return 1.0


class _LengthHistory:
    """The output lengths of one route or pair, in two windows.

    The previous window is stored as pairs of value and count, which take far
    less memory than a histogram.
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
        if samples >= _WINDOW_SAMPLES:
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
    """Estimates output lengths by route and organisation.

    Args:
        default_tokens: Expected length of an output of a route without
            recorded outputs, in tokens.
        pairs_max: Maximum number of pairs of route and organisation; the
            least recently recorded are dropped.
    """

    def __init__(self, default_tokens: int, pairs_max: int = 1_024) -> None:
        self._default = default_profile(float(default_tokens))
        self._routes: dict[str, _LengthHistory] = {}
        self._pairs: bounded_map.BoundedMap[
            tuple[str, str], _LengthHistory
        ] = bounded_map.BoundedMap(pairs_max)

    def record(self, route: str, organisation: str, tokens: int) -> None:
        """Records the length in tokens of an output that ended by itself."""
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
        """Returns the profile of a route and organisation."""
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
