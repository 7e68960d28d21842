"""Estimates how long requests take at the targets of a service.

A stopping instance needs to know which requests end before it exits. The usual
duration of a request says nothing about slow or crowded targets, so it is
multiplied by a factor that follows the observed durations.
"""

import attrs


@attrs.define
class DurationFactor:
    """Ratio of the observed to the usual durations of a service's requests.

    Slow samples weigh more than fast ones: a request that is accepted and then
    cut off is worse for its caller than one that is refused at once.

    Attributes:
        value: The ratio; at least 1.
    """

    value: float = 1.0

    # Weights of a sample above and of one below the ratio.
    _SLOWER_WEIGHT = 0.5
    _FASTER_WEIGHT = 0.05
    # Upper bound of a sample, as a multiple of the ratio. Callers state the
    # expected lengths; one false length must not dominate.
    _SAMPLE_FACTOR_MAX = 2.0

    def record(self, usual_s: float, taken_s: float) -> None:
        """Adds a sample; one without a usual duration is ignored.

        Args:
            usual_s: Usual duration of the request, in seconds.
            taken_s: Time that the request took, in seconds.
        """
        if usual_s <= 0:
            return
        sample = min(taken_s / usual_s, self._SAMPLE_FACTOR_MAX * self.value)
        weight = (
            self._SLOWER_WEIGHT if sample > self.value else self._FASTER_WEIGHT
        )
        self.value = max(1.0, self.value + weight * (sample - self.value))


@attrs.define
class DurationFactors:
    """The duration factors of all services."""

    _factors: dict[str, DurationFactor] = attrs.field(factory=dict)

    def for_service(self, service: str) -> DurationFactor:
        """Returns the factor of a service.

        Args:
            service: Name of the service.
        """
        return self._factors.setdefault(service, DurationFactor())
