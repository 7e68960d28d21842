"""State machine of the lifecycle of an instance."""

from collections.abc import Callable
import logging

import transitions

from dotterelweir_core import events

LOG = logging.getLogger(__name__)

_STATE_EVENTS = {
    'starting': events.INSTANCE_STARTING,
    'ready': events.INSTANCE_READY,
    'draining': events.INSTANCE_DRAINING,
    'stopped': events.INSTANCE_STOPPED,
}

STATES = tuple(_STATE_EVENTS)


class Lifecycle:
    """Holds the state: starting, ready, draining or stopped.

    ``mark_ready``, ``drain`` and ``stop`` change the state. A call that the
    current state does not allow has no effect.

    Attributes:
        has_been_ready: Whether the state was ready at some time.
    """

    def __init__(self) -> None:
        self.has_been_ready = False
        self._listeners: list[Callable[[str], None]] = []
        self._machine = transitions.Machine(
            model=self,
            states=list(STATES),
            initial='starting',
            auto_transitions=False,
            ignore_invalid_triggers=True,
            after_state_change='_notify',
            transitions=[
                {
                    'trigger': 'mark_ready',
                    'source': 'starting',
                    'dest': 'ready',
                },
                {
                    'trigger': 'drain',
                    'source': ['starting', 'ready'],
                    'dest': 'draining',
                },
                {
                    'trigger': 'stop',
                    'source': ['starting', 'ready', 'draining'],
                    'dest': 'stopped',
                },
            ],
        )

    def subscribe(self, listener: Callable[[str], None]) -> None:
        """Calls a function with the name of each new state."""
        self._listeners.append(listener)

    @property
    def ready(self) -> bool:
        """Whether the balancer should send requests."""
        return self.state == 'ready'

    def _notify(self) -> None:
        self.has_been_ready |= self.ready
        events.log(LOG, _STATE_EVENTS[self.state])
        for listener in self._listeners:
            listener(self.state)
