"""Health of a target as one instance sees it, judged by progress.

States and transitions::

    healthy --eject--> ejected --probe--> probation --recover--> healthy
                          ^                   |
                          +------relapse------+

A target on probation gets one request at a time until it has made normal
progress.
"""

import enum

import transitions

_BACKOFF_MAX_S = 30.0


class HealthState(enum.StrEnum):
    """Whether a target gets new work."""

    HEALTHY = 'healthy'
    EJECTED = 'ejected'
    PROBATION = 'probation'


# One machine serves every target: its states and transitions take far more
# memory than the state of one target.
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
    """The state machine of one target.

    Args:
        probation_after_s: Time from the first ejection to probation; doubles
            with each relapse.
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
        """The state of the target."""
        return HealthState(self.state)

    def record_slow_progress(self, reason: str, now_s: float) -> None:
        """Takes the target out after slow progress or a failure."""
        if self.state == HealthState.HEALTHY.value:
            self._delay_s = self._first_delay_s
            self.eject()
        elif self.state == HealthState.PROBATION.value:
            self._delay_s = min(_BACKOFF_MAX_S, self._delay_s * 2)
            self.relapse()
        self.reason = reason
        self.probation_due_s = now_s + self._delay_s

    def record_normal_progress(self) -> None:
        """Takes note of normal progress of new work or of running work."""
        if self.state == HealthState.EJECTED.value:
            self.probe()
        elif self.state == HealthState.PROBATION.value:
            self.recover()

    def start_probation_if_due(self, now_s: float) -> bool:
        """Starts probation if it is due; whether the state has changed."""
        if (
            self.state != HealthState.EJECTED.value
            or now_s < self.probation_due_s
        ):
            return False
        self.probe()
        return True
