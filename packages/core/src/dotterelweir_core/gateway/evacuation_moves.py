"""Choice of the runs that move off an evacuated zone.

The operator may shut the zone down once it gets nothing new. At peak load the
other zones hold most of the memory already, and every run of the zone could
move at the same moment, from all instances. Each instance therefore moves few
runs at a time, those first that would lose most.
"""

from collections.abc import Iterable
from typing import Generic
from typing import TypeVar

import attrs

# Maximum number of runs that an instance moves off evacuated zones at once;
# 0 switches these moves off.
MOVES_MAX = 2
# Work left from which on a run moves, in seconds. The zone gets nothing new
# from 5 s after the operator's instruction on, and is not shut down before.
WORK_LEFT_MIN_S = 5.0
# Time after which a run that could not move is tried again, in seconds. Long
# runs end and free memory at this pace.
RETRY_DELAY_S = 2.0

_Run = TypeVar('_Run')


@attrs.frozen
class Candidate(Generic[_Run]):
    """A run in an evacuated zone.

    Attributes:
        run: The run.
        left_s: Time until its expected end, in seconds.
        tried_s: Monotonic time of the last try to move it, in seconds.
    """

    run: _Run
    left_s: float
    tried_s: float = float('-inf')


def choose(
    candidates: Iterable[Candidate[_Run]], moving: int, now_s: float
) -> list[_Run]:
    """Returns the runs that begin to move now, those with most work first.

    Args:
        candidates: Runs in evacuated zones that are not moving.
        moving: Number of runs that are moving.
        now_s: Monotonic time, in seconds.
    """
    due = [
        candidate
        for candidate in candidates
        if candidate.left_s >= WORK_LEFT_MIN_S
        and now_s - candidate.tried_s >= RETRY_DELAY_S
    ]
    due.sort(key=lambda candidate: candidate.left_s, reverse=True)
    return [candidate.run for candidate in due[: max(0, MOVES_MAX - moving)]]
