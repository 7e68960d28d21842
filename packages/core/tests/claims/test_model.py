"""Stateful test of several instances that claim keys in one log."""

import attrs
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from dotterelweir_core import errors
from dotterelweir_core.claims import fold
from dotterelweir_core.claims import records

WINDOW_S = 1_000.0
DISPATCH_LIMIT_S = 30.0
INSTANCES = ('a', 'b', 'c')
KEYS = ('k1', 'k2', 'k3')
# Times at which an append takes effect whose response is lost.
APPEND_EFFECTS = strategies.sampled_from(
    [('now',), ('later',), ('now', 'later')]
)


@attrs.define
class _Call:
    """A call at an instance; its caller waits while ``open`` is true."""

    claim: records.Claim
    received_s: float
    granted: bool = False
    open: bool = True


@attrs.define
class _Instance:
    """An instance with its claim table and its calls."""

    name: str
    table: fold.ClaimTable = attrs.field(
        factory=lambda: fold.ClaimTable(WINDOW_S)
    )
    next_offset: int = 0
    calls: dict[str, _Call] = attrs.field(factory=dict)


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Instances that claim keys; each one acts only when a rule runs it.

    An instance can thus be paused or partitioned between any two of its
    steps. An append whose response is lost takes effect at once, at any
    later time or both.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.log: list[tuple[float, records.ClaimRecord]] = []
        self.in_flight: list[records.ClaimRecord] = []
        self.instances = {name: _Instance(name) for name in INSTANCES}
        self.reported_not_run: list[str] = []
        self.dispatched: dict[str, str] = {}
        self.claim_count = 0

    def _append(self, record, effects):
        if 'now' in effects:
            self.log.append((self.now_s, record))
        if 'later' in effects:
            self.in_flight.append(record)

    @stateful.rule(
        names=strategies.lists(
            strategies.sampled_from(INSTANCES), min_size=1, max_size=3
        ),
        key=strategies.sampled_from(KEYS),
        effects=APPEND_EFFECTS,
    )
    def call(self, names, key, effects):
        """A caller sends a call to one or several instances."""
        for name in names:
            self.claim_count += 1
            claim = records.Claim(f'{name}.{self.claim_count}', key, 'r')
            self.instances[name].calls[claim.claim_id] = _Call(
                claim, self.now_s
            )
            self._append(claim, effects)

    @stateful.precondition(lambda self: self.in_flight)
    @stateful.rule(data=strategies.data())
    def append_late(self, data):
        """The log appends a delayed record."""
        index = data.draw(strategies.integers(0, len(self.in_flight) - 1))
        self.log.append((self.now_s, self.in_flight.pop(index)))

    @stateful.rule(
        name=strategies.sampled_from(INSTANCES),
        records_read=strategies.sampled_from([1_000, 1]),
        dispatches=strategies.booleans(),
        completes=strategies.booleans(),
        effects=APPEND_EFFECTS,
    )
    def fold_and_dispatch(
        self, name, records_read, dispatches, completes, effects
    ):
        """An instance applies new records and dispatches granted calls."""
        instance = self.instances[name]
        end = min(len(self.log), instance.next_offset + records_read)
        for offset in range(instance.next_offset, end):
            time_s, record = self.log[offset]
            decision = instance.table.apply(offset, time_s, record)
            if decision is not None:
                self._apply_decision(instance, record, decision, effects)
        instance.next_offset = end
        if dispatches:
            self._dispatch(instance, completes, effects)

    def _apply_decision(self, instance, claim, decision, effects):
        call = instance.calls.get(decision.claim_id)
        if call is not None and call.open:
            call.granted = decision.verdict is fold.Verdict.GRANTED
            call.open = call.granted
        elif (
            decision.verdict is fold.Verdict.GRANTED
            and claim.claim_id.startswith(f'{instance.name}.')
        ):
            self._release(claim, effects)

    def _release(self, claim, effects):
        self._append(records.Release(claim.claim_id, claim.key_hash), effects)

    def _dispatch(self, instance, completes, effects):
        for call in instance.calls.values():
            if not (call.granted and call.open):
                continue
            call.open = False
            if self.now_s - call.received_s > DISPATCH_LIMIT_S:
                self.reported_not_run.append(call.claim.claim_id)
                self._release(call.claim, effects)
                continue
            self.dispatched[call.claim.claim_id] = call.claim.key_hash
            if completes:
                self._append(
                    records.Outcome(
                        call.claim.claim_id,
                        call.claim.key_hash,
                        errors.Execution.RAN,
                    ),
                    effects,
                )

    @stateful.rule(name=strategies.sampled_from(INSTANCES))
    def time_out(self, name):
        """The undecided calls of an instance time out."""
        instance = self.instances[name]
        for call in instance.calls.values():
            if call.open and not call.granted:
                call.open = False
                self.reported_not_run.append(call.claim.claim_id)

    @stateful.rule(seconds=strategies.sampled_from([1.0, 40.0]))
    def wait(self, seconds):
        """Time passes, but stays within the window of the claims."""
        if self.now_s + seconds < WINDOW_S:
            self.now_s += seconds

    @stateful.invariant()
    def at_most_one_dispatch(self):
        """No key is dispatched twice within the window."""
        keys = list(self.dispatched.values())
        assert len(set(keys)) == len(keys)

    @stateful.invariant()
    def not_run_is_true(self):
        """A call that was reported as not run is never dispatched."""
        assert not self.dispatched.keys() & set(self.reported_not_run)


ClaimMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=40, deadline=None
)
TestClaims = ClaimMachine.TestCase
