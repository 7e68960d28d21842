"""Health of a target, derived by one instance from observed progress.

States and transitions::

    healthy --eject--> ejected --probe--> probation --recover--> healthy
                          ^                   |
                          +------relapse------+

A target on probation gets one request at a time until it has made normal
progress.
"""

import enum

import transitions

_PROBATION_DELAY_MAX_S = 30.0


class HealthState(enum.StrEnum):
    """Whether a target is given new work."""

    HEALTHY = 'healthy'
    EJECTED = 'ejected'
    PROBATION = 'probation'


# All targets share one machine, because its states and transitions take far
# more memory than the state of one target.
_MACHINE = transitions.Machine(
    model=None,
    states=[state.value for state in HealthState],
    transitions=[
        {'trigger': 'eject', 'source': 'healthy', 'dest': 'ejected'},
        {'trigger': 'probe', 'source': 'ejected', 'dest': 'probation'},
        {'trigger': 'recover', 'source': 'probation', 'dest': 'healthy'},
        {'trigger': 'relapse', 'source': 'probation', 'dest': 'ejected'},
    ],
    initial=HealthState.HEALTHY.value,
    auto_transitions=False,
)


class TargetHealth:
    """Holds the health state of one target.

    Args:
        probation_after_s: Seconds from the first ejection to probation. The
            delay doubles with each relapse, up to a maximum.

    Attributes:
        reason: Reason of the last ejection; empty before the first.
        probation_due_s: Monotonic time of the next probation, in seconds.
        state: Value of the current ``HealthState``.
    """

    def __init__(self, probation_after_s: float) -> None:
        self._first_delay_s = probation_after_s
        self._delay_s = probation_after_s
        self.reason = ''
        self.probation_due_s = 0.0
        self.state = HealthState.HEALTHY.value
        _MACHINE.add_model(self)

    @property
    def current(self) -> HealthState:
        """The current state of the target."""
        return HealthState(self.state)

    def record_slow_progress(self, reason: str, now_s: float) -> None:
        """Ejects the target after slow progress or a failure.

        Args:
            reason: Reason of the ejection.
            now_s: Monotonic time, in seconds.
        """
        if self.state == HealthState.HEALTHY.value:
            self._delay_s = self._first_delay_s
            self.eject()
        elif self.state == HealthState.PROBATION.value:
            self._delay_s = min(_PROBATION_DELAY_MAX_S, self._delay_s * 2)
            self.relapse()
        self.reason = reason
        self.probation_due_s = now_s + self._delay_s

    def record_normal_progress(self) -> None:
        """Moves the target from ejected to probation, and then to healthy."""
        if self.state == HealthState.EJECTED.value:
            self.probe()
        elif self.state == HealthState.PROBATION.value:
            self.recover()

    def start_probation_if_due(self, now_s: float) -> bool:
        """Starts probation if the target is ejected and its delay is over.

        Args:
            now_s: Monotonic time, in seconds.

        Returns:
            Whether the state has changed.
        """
        if (
            self.state != HealthState.EJECTED.value
            or now_s < self.probation_due_s
        ):
            return False
        self.probe()
        return True
