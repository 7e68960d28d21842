"""Baseline schedulers that the scheduling policy is compared with.

They place every request at once, without a queue or admission control. They
refuse it only if the pool has no target left that has not failed it.
"""

import abc
import random

from dotterelweir_core import errors
from dotterelweir_core.policy import api
from dotterelweir_core.targets import model


class BaselineScheduler(api.Scheduler):
    """Base class of the baselines.

    Args:
        rng: Random source.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._targets: dict[str, tuple[model.Target, ...]] = {}
        self._in_flight: dict[str, int] = {}
        self._waiting: list[api.WorkItem] = []

    @abc.abstractmethod
    def choose(self, pool: str, target_ids: list[str]) -> str:
        """Returns the identifier of the target for one request.

        Args:
            pool: Name of the pool.
            target_ids: Identifiers of the usable targets; not empty.
        """

    def set_targets(
        self, pool: str, targets: tuple[model.Target, ...], now_s: float
    ) -> None:
        self._targets[pool] = targets
        for target in targets:
            self._in_flight.setdefault(target.target_id, 0)

    def submit(self, item: api.WorkItem, now_s: float) -> None:
        self._waiting.append(item)

    def cancel(self, request_id: str, now_s: float) -> None:
        self._waiting = [
            item for item in self._waiting if item.request_id != request_id
        ]

    def decide(self, now_s: float) -> list[api.Decision]:
        waiting, self._waiting = self._waiting, []
        return [self._place(item) for item in waiting]

    def next_wakeup_s(self) -> float | None:
        return None

    def explain(self, item: api.WorkItem, now_s: float) -> api.Explanation:
        return api.Explanation(None, ())

    def record_report(self, report: model.LoadReport, now_s: float) -> None:
        """Ignores load reports."""

    def record_first_token(
        self, request_id: str, target_id: str, now_s: float
    ) -> None:
        """Ignores progress."""

    def record_tokens(
        self, request_id: str, target_id: str, count: int, now_s: float
    ) -> None:
        """Ignores progress."""

    def record_end(
        self,
        request_id: str,
        target_id: str,
        end: api.AttemptEnd,
        now_s: float,
    ) -> None:
        self._in_flight[target_id] -= 1

    def in_flight(self, target_id: str) -> int:
        """Returns the number of own requests in flight at a target."""
        return self._in_flight[target_id]

    def _place(self, item: api.WorkItem) -> api.Decision:
        target_ids = [
            target.target_id
            for target in self._targets.get(item.pool, ())
            if target.target_id not in item.excluded
        ]
        if not target_ids:
            return api.Refusal(
                item.request_id,
                errors.ErrorKind.TARGET_UNREACHABLE,
                1.0,
                'every target was tried',
            )
        target_id = self.choose(item.pool, target_ids)
        self._in_flight[target_id] += 1
        return api.Placement(
            item.request_id, target_id, item.priority, 'baseline'
        )


class RoundRobin(BaselineScheduler):
    """Chooses the targets in turn, starting from a random one."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._next = rng.randrange(1_000)

    def choose(self, pool: str, target_ids: list[str]) -> str:
        self._next += 1
        return target_ids[self._next % len(target_ids)]


class LeastInFlight(BaselineScheduler):
    """Chooses a target with the fewest own requests; ties are random."""

    def choose(self, pool: str, target_ids: list[str]) -> str:
        least = min(self.in_flight(target_id) for target_id in target_ids)
        return self._rng.choice(
            [
                target_id
                for target_id in target_ids
                if self.in_flight(target_id) == least
            ]
        )
