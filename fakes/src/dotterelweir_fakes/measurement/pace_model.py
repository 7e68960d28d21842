"""Compares ways to pace a target that has started, in virtual time.

Many instances send requests to the targets of a service: each to the target
that it takes to be the least busy. They know of each other's requests after a
delay, which is why all of them choose a target that has just started. This one
serves little at first, and its requests are lost that wait for too long. The
rules see the outcomes after the delay of a digest. Run it with
``python -m dotterelweir_fakes pace``.
"""

import collections
import random
from typing import Protocol

import attrs
import click

from dotterelweir_core.gateway import learned_pace

# Length of a step, in seconds.
_STEP_S = 0.01
# Delay after which instances know of requests and outcomes, in seconds; in a
# large deployment, messages go over relays.
_DELAY_S = 0.02
# Duration of a run, and the time in which the new target warms up, in seconds.
_RUN_S = 60.0
_WARM_UP_S = 10.0
# Requests per second that a usual target serves, the share of them that a
# cold one serves, and the share that the callers demand.
_SERVED_PER_S = 80.0
_COLD_SHARE = 0.15
_DEMAND_SHARE = 0.85
# Requests that wait at each of the others at first: the new target is needed.
_BACKLOG = 10.0
# Requests in a second above which a cold target of one kind ends, and the time
# after which it starts again, in seconds.
_ENDS_ABOVE = 50
_RESTART_S = 5.0
# Other targets of the service; those beyond this number are not modelled.
_OTHERS = 4
# Wait after which an answer is late, and after which it is lost, in seconds.
_LATE_S = 0.2
_LOST_S = 1.0
# Share of its time to full use that a target needs: it gets this share of what
# it is due.
_FULL_SHARE = 0.9


class Rule(Protocol):
    """A way to pace a target."""

    rate_per_s: float

    def update(self, counts: learned_pace.AttemptCounts, now_s: float) -> None:
        """Applies the outcomes that all instances have counted."""


@attrs.define
class NoPace:
    """No pace at all."""

    rate_per_s: float = float('inf')

    def update(self, counts: learned_pace.AttemptCounts, now_s: float) -> None:
        """Does nothing."""


@attrs.define
class FixedRamp:
    """A rate that rises with time alone, to a usual one after 30 s."""

    rate_per_s: float = 2.0

    def update(self, counts: learned_pace.AttemptCounts, now_s: float) -> None:
        """Raises the rate."""
        self.rate_per_s = max(2.0, _SERVED_PER_S * now_s / 30.0)
        if now_s >= 30.0:
            self.rate_per_s = float('inf')


@attrs.define
class Steps:
    """A rate that changes once a second by a sum or a factor.

    Attributes:
        up: Returns the next higher rate, in requests per second.
    """

    factor: float
    summand: float
    rate_per_s: float = 2.0
    _known: learned_pace.AttemptCounts = learned_pace.AttemptCounts()
    _updated_s: float = 0.0

    def update(self, counts: learned_pace.AttemptCounts, now_s: float) -> None:
        """Raises the rate after a second without a loss, else halves it."""
        if now_s - self._updated_s < 1.0:
            return
        bad = counts.failed + counts.late - self._known.failed
        bad -= self._known.late
        if bad > 0.25 * (counts.served - self._known.served + bad):
            self.rate_per_s = max(0.5, 0.5 * self.rate_per_s)
        elif counts.served > self._known.served:
            self.rate_per_s = self.factor * self.rate_per_s + self.summand
        self._known, self._updated_s = counts, now_s


@attrs.define
class Gradient:
    """A rate that follows the ratio of the lowest latency to the present one.

    Attributes:
        latency_s: Present latency, in seconds; set by the model.
    """

    rate_per_s: float = 2.0
    latency_s: float = 0.0
    _lowest_s: float = float('inf')
    _updated_s: float = 0.0
    _served: float = 0.0

    def update(self, counts: learned_pace.AttemptCounts, now_s: float) -> None:
        """Moves the rate once in half a second."""
        if now_s - self._updated_s < 0.5 or counts.served == self._served:
            return
        self._updated_s, self._served = now_s, counts.served
        self._lowest_s = min(self._lowest_s, self.latency_s)
        ratio = min(1.0, max(0.5, 1.5 * self._lowest_s / self.latency_s))
        self.rate_per_s = max(0.5, ratio * self.rate_per_s + 2.0)


class Learned:
    """The rule of the gateway, which ends by itself."""

    def __init__(self) -> None:
        self._learned = learned_pace.LearnedPace(0.0)

    @property
    def rate_per_s(self) -> float:
        """The pace; infinite after its end."""
        ended = self._learned.ended
        return float('inf') if ended else self._learned.rate_per_s

    def update(self, counts: learned_pace.AttemptCounts, now_s: float) -> None:
        """Applies the outcomes in the periods of the gateway."""
        if not self._learned.ended:
            self._learned.update(counts, now_s)


RULES = {
    'nothing': NoPace,
    'fixed ramp': FixedRamp,
    'additive steps': lambda: Steps(1.0, 2.0),
    'multiplicative steps': lambda: Steps(1.5, 0.0),
    'gradient of latency': Gradient,
    'learned pace': Learned,
}
# Speed of the new target relative to the others; it serves nothing at 0, and
# its health check says that it is ready.
SPEEDS = {
    'equal': 1.0,
    'twice': 2.0,
    'half': 0.5,
    'false health': 0.0,
    'equal, ends': 1.0,
}


@attrs.frozen
class Result:
    """What became of a run.

    Attributes:
        lost: Requests that were lost at the new target.
        late: Requests that it has served late.
        full_s: Time after which it was used in full for a second, in seconds;
            None if it was not.
    """

    lost: int
    late: int
    full_s: float | None


def play(
    rule: Rule,
    instances: int,
    speed: float,
    ends: bool = False,
    seed: int = 1,
) -> Result:
    """Plays the first minute of a target.

    Args:
        rule: How it is paced.
        instances: Number of instances.
        speed: Speed of the target, relative to the others.
        ends: Whether it ends if it gets too much while it is cold.
        seed: Seed of the random source.
    """
    rng = random.Random(seed)
    waiting: collections.deque[float] = collections.deque()
    seen_at: collections.deque[tuple[float, int]] = collections.deque()
    seen_new = 0
    others = [_BACKLOG] * _OTHERS
    began_s = 0.0
    sent_s: collections.deque[float] = collections.deque()
    counts = learned_pace.AttemptCounts()
    delayed: collections.deque[tuple[float, learned_pace.AttemptCounts]]
    delayed = collections.deque()
    served_s: collections.deque[float] = collections.deque()
    turns = work = 0.0
    next_update_s, full_s = 0.0, None
    demand_per_s = _DEMAND_SHARE * _SERVED_PER_S * (_OTHERS + 1)
    served = failed = late = 0
    for step in range(round(_RUN_S / _STEP_S)):
        now_s = step * _STEP_S
        # What the instances know of the new target, each of its own requests
        # at once and of the others' after the delay.
        seen_at.append((now_s, len(waiting)))
        while seen_at[0][0] < now_s - _DELAY_S:
            seen_new = seen_at.popleft()[1]
        known_new = seen_new + (len(waiting) - seen_new) / instances
        arrived = int(demand_per_s * _STEP_S)
        arrived += rng.random() < demand_per_s * _STEP_S % 1.0
        turns = min(
            1.0 + 0.1 * rule.rate_per_s, turns + rule.rate_per_s * _STEP_S
        )
        for _ in range(arrived):
            least = min(range(_OTHERS), key=others.__getitem__)
            if (
                now_s >= began_s
                and known_new <= others[least]
                and turns >= 1.0
            ):
                waiting.append(now_s)
                sent_s.append(now_s)
                turns -= 1.0
                known_new += 1.0 / instances
            else:
                others[least] += 1.0
        others = [max(0.0, n - _SERVED_PER_S * _STEP_S) for n in others]
        while sent_s and sent_s[0] < now_s - 1.0:
            sent_s.popleft()
        is_cold = now_s < began_s + _WARM_UP_S
        if ends and is_cold and len(sent_s) > _ENDS_ABOVE:
            failed += len(waiting)
            waiting.clear()
            sent_s.clear()
            began_s = now_s + _RESTART_S
        warm = min(1.0, _COLD_SHARE + max(0.0, now_s - began_s) / _WARM_UP_S)
        work = min(1.0, work) + speed * warm * _SERVED_PER_S * _STEP_S
        while waiting and now_s - waiting[0] > _LOST_S:
            waiting.popleft()
            failed += 1
        while waiting and work >= 1.0:
            work -= 1.0
            wait_s = now_s - waiting.popleft()
            served += 1
            late += wait_s > _LATE_S
            served_s.append(now_s)
            if isinstance(rule, Gradient):
                rule.latency_s = wait_s + 1.0 / _SERVED_PER_S
        while served_s and served_s[0] < now_s - 1.0:
            served_s.popleft()
        due_per_s = demand_per_s * speed / (_OTHERS + speed)
        due_per_s = min(due_per_s, _DEMAND_SHARE * _SERVED_PER_S)
        if full_s is None and len(served_s) >= max(1, _FULL_SHARE * due_per_s):
            full_s = now_s
        if now_s >= next_update_s:
            next_update_s += 0.25
            delayed.append(
                (now_s, learned_pace.AttemptCounts(served, failed, late))
            )
            while delayed and delayed[0][0] <= now_s - _DELAY_S:
                counts = delayed.popleft()[1]
            rule.update(counts, now_s)
    return Result(failed + len(waiting) * (speed == 0.0), late, full_s)


@click.command('pace')
def command() -> None:
    """Prints requests lost and late, and the time to full use, as a table."""
    click.echo(
        '| rule | target | 3 instances | 60 | 370 |\n|---|---|---|---|---|'
    )
    for rule_name, make in RULES.items():
        for speed_name, speed in SPEEDS.items():
            cells = []
            for instances in (3, 60, 370):
                result = play(make(), instances, speed, 'ends' in speed_name)
                full = (
                    '-' if result.full_s is None else f'{result.full_s:.1f} s'
                )
                cells.append(f'{result.lost}, {result.late}, {full}')
            click.echo(
                f'| {rule_name} | {speed_name} | ' + ' | '.join(cells) + ' |'
            )
