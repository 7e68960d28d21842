"""Token rate limits of organisations, enforced by each instance in part."""

import attrs

# Capacity of a token bucket, in seconds of the rate.
_BURST_S = 5.0


@attrs.define
class _TokenBucket:
    level: float
    updated_s: float


class OrganisationLimits:
    """Enforces this instance's share of the organisations' token rates.

    The share is the limit divided by the number of live instances. Tokens
    are charged after they were used, so the level of a bucket may become
    negative. New requests are then refused until it is positive again.
    """

    def __init__(self) -> None:
        self._rates: dict[str, float] = {}
        self._instances = 1
        self._buckets: dict[tuple[str, str], _TokenBucket] = {}

    def set_limits(self, rates: dict[str, float], instances: int) -> None:
        """Sets the token rates and the number of instances that share them.

        Args:
            rates: Tokens per second that each organisation may use, by route.
            instances: Number of live instances; less than 1 counts as 1.
        """
        self._rates = dict(rates)
        self._instances = max(1, instances)
        self._buckets = {
            key: bucket
            for key, bucket in self._buckets.items()
            if key[0] in self._rates
        }

    def charge(
        self, route: str, organisation: str, tokens: int, now_s: float
    ) -> None:
        """Charges tokens that a request has used."""
        if route in self._rates:
            self._refill(route, organisation, now_s).level -= tokens

    def wait_s(self, route: str, organisation: str, now_s: float) -> float:
        """Returns the seconds until a request is allowed; 0 if it is now."""
        if route not in self._rates:
            return 0.0
        bucket = self._refill(route, organisation, now_s)
        if bucket.level > 0:
            return 0.0
        return max((1.0 - bucket.level) / self._share_per_s(route), 0.001)

    def _share_per_s(self, route: str) -> float:
        return max(self._rates[route] / self._instances, 1e-6)

    def _refill(
        self, route: str, organisation: str, now_s: float
    ) -> _TokenBucket:
        share_per_s = self._share_per_s(route)
        burst = max(share_per_s * _BURST_S, 1.0)
        bucket = self._buckets.get((route, organisation))
        if bucket is None:
            bucket = _TokenBucket(burst, now_s)
            self._buckets[(route, organisation)] = bucket
        gained_tokens = (now_s - bucket.updated_s) * share_per_s
        bucket.level = min(burst, bucket.level + gained_tokens)
        bucket.updated_s = now_s
        return bucket
