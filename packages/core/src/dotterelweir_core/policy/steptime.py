"""Estimates the step time of an engine from the size of its batch."""

import attrs

# Factor by which the weight of an observation falls with each further one. The
# weight halves after about 70 observations.
_DECAY = 0.99
# Weight, in observations, of the prior assumption that half of the step time
# grows with the batch. It dominates while all observed batches are of similar
# size.
_PRIOR_WEIGHT = 4.0


@attrs.define
class StepTimeFit:
    """Weighted least squares fit of step time over requests in the batch.

    Holds the sum of the weights, and weighted sums of the batch sizes, of the
    step times, of the squared batch sizes, and of the products of batch size
    and step time.
    """

    _weight: float = 0.0
    _sum_batch: float = 0.0
    _sum_step_s: float = 0.0
    _sum_batch_squared: float = 0.0
    _sum_batch_step_s: float = 0.0

    def record(self, running: int, step_s: float) -> None:
        """Records an observed batch size and its step time in seconds."""
        self._weight = self._weight * _DECAY + 1.0
        self._sum_batch = self._sum_batch * _DECAY + running
        self._sum_step_s = self._sum_step_s * _DECAY + step_s
        self._sum_batch_squared = (
            self._sum_batch_squared * _DECAY + running * running
        )
        self._sum_batch_step_s = (
            self._sum_batch_step_s * _DECAY + running * step_s
        )

    @property
    def slope_s(self) -> float:
        """The seconds that one more request adds to a step; 0 if unknown."""
        if self._weight < 3.0:
            return 0.0
        mean_batch = self._sum_batch / self._weight
        mean_step_s = self._sum_step_s / self._weight
        variance = max(
            0.0,
            self._sum_batch_squared / self._weight - mean_batch * mean_batch,
        )
        covariance = (
            self._sum_batch_step_s / self._weight - mean_batch * mean_step_s
        )
        prior_slope = 0.5 * mean_step_s / max(mean_batch, 1.0)
        slope = (
            covariance * self._weight + prior_slope * _PRIOR_WEIGHT * 16.0
        ) / (variance * self._weight + _PRIOR_WEIGHT * 16.0)
        return min(max(slope, 0.0), mean_step_s / max(mean_batch, 1.0))

    def predict_s(self, running: float) -> float:
        """Returns the expected step time for a batch size; 0 if unknown."""
        if self._weight < 3.0:
            return 0.0
        mean_batch = self._sum_batch / self._weight
        mean_step_s = self._sum_step_s / self._weight
        return max(0.0, mean_step_s + self.slope_s * (running - mean_batch))
