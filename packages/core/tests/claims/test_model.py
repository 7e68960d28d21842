"""A model of several instances that claim keys in one log."""

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
KEYS = ('k1', 'k2')


@attrs.define
class _Call:
    """One call of one instance; the caller waits while it is open."""

    claim: records.Claim
    sent_s: float
    granted: bool = False
    open: bool = True


@attrs.define
class _Instance:
    """A claim table that follows the log, and the calls of an instance."""

    name: str
    table: fold.ClaimTable = attrs.field(
        factory=lambda: fold.ClaimTable(WINDOW_S)
    )
    next_offset: int = 0
    paused: bool = False
    calls: dict[str, _Call] = attrs.field(factory=dict)


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Instances pause, give up and read late; the log reorders nothing.

    An append whose response is lost is a record that takes effect at any
    later time, any number of times.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.log: list[tuple[float, records.ClaimRecord]] = []
        self.in_flight: list[records.ClaimRecord] = []
        self.instances = {name: _Instance(name) for name in INSTANCES}
        self.dispatches: dict[str, list[float]] = {key: [] for key in KEYS}
        self.told_not_run: list[str] = []
        self.dispatched: set[str] = set()
        self.count = 0

    @stateful.rule(
        name=strategies.sampled_from(INSTANCES),
        key=strategies.sampled_from(KEYS),
    )
    def call(self, name, key):
        """A caller sends a call with a key."""
        instance = self.instances[name]
        if instance.paused:
            return
        self.count += 1
        claim_id = f'{instance.name}.{self.count}'
        claim = records.Claim(claim_id, key, 'r')
        instance.calls[claim.claim_id] = _Call(claim, self.now_s)
        self.in_flight.append(claim)

    @stateful.rule(data=strategies.data(), repeat=strategies.booleans())
    def take(self, data, repeat):
        """The log takes a record, which may arrive once more later."""
        if not self.in_flight:
            return
        index = data.draw(strategies.integers(0, len(self.in_flight) - 1))
        record = self.in_flight[index]
        if not repeat:
            del self.in_flight[index]
        self.log.append((self.now_s, record))

    @stateful.rule(
        name=strategies.sampled_from(INSTANCES),
        records_read=strategies.integers(1, 8),
    )
    def read(self, name, records_read):
        """An instance folds the next records."""
        instance = self.instances[name]
        if instance.paused:
            return
        end = min(len(self.log), instance.next_offset + records_read)
        for offset in range(instance.next_offset, end):
            time_s, record = self.log[offset]
            decision = instance.table.apply(offset, time_s, record)
            if decision is not None:
                self._decided(instance, record, decision)
        instance.next_offset = end

    def _decided(self, instance, claim, decision):
        call = instance.calls.get(decision.claim_id)
        if call is not None and call.open:
            call.granted = decision.verdict is fold.Verdict.GRANTED
            call.open = call.granted
        elif (
            decision.verdict is fold.Verdict.GRANTED
            and claim.claim_id.startswith(f'{instance.name}.')
        ):
            self._release(claim)

    def _release(self, claim):
        self.in_flight.append(records.Release(claim.claim_id, claim.key_hash))

    @stateful.rule(
        name=strategies.sampled_from(INSTANCES), ends=strategies.booleans()
    )
    def dispatch(self, name, ends):
        """An instance sends its granted calls, if it still may."""
        instance = self.instances[name]
        if instance.paused:
            return
        for call in instance.calls.values():
            if not (call.granted and call.open):
                continue
            call.open = False
            if self.now_s - call.sent_s > DISPATCH_LIMIT_S:
                self.told_not_run.append(call.claim.claim_id)
                self._release(call.claim)
                continue
            self.dispatched.add(call.claim.claim_id)
            self.dispatches[call.claim.key_hash].append(self.now_s)
            if ends:
                self.in_flight.append(
                    records.Outcome(
                        call.claim.claim_id,
                        call.claim.key_hash,
                        errors.Execution.RAN,
                    )
                )

    @stateful.rule(name=strategies.sampled_from(INSTANCES))
    def give_up(self, name):
        """The decision on the calls of an instance takes too long."""
        instance = self.instances[name]
        for call in instance.calls.values():
            if call.open and not call.granted and not instance.paused:
                call.open = False
                self.told_not_run.append(call.claim.claim_id)

    @stateful.rule(
        name=strategies.sampled_from(INSTANCES), paused=strategies.booleans()
    )
    def pause_or_wake(self, name, paused):
        """An instance is paused, or goes on without having noticed."""
        self.instances[name].paused = paused

    @stateful.rule(name=strategies.sampled_from(INSTANCES))
    def restart(self, name):
        """An instance ends and starts anew under another run."""
        run = self.instances[name].name + 'r'
        self.instances[name] = _Instance(run)

    @stateful.rule(seconds=strategies.sampled_from([0.1, 20.0, 40.0]))
    def wait(self, seconds):
        """Time passes, but stays well within the claims' window."""
        if self.now_s + seconds < WINDOW_S:
            self.now_s += seconds

    @stateful.invariant()
    def at_most_one_dispatch(self):
        """No key is dispatched twice within the window."""
        for key, times in self.dispatches.items():
            assert len(times) <= 1, f'{key} was dispatched at {times}'

    @stateful.invariant()
    def not_run_is_true(self):
        """A call whose caller was told "not run" is never dispatched."""
        assert not self.dispatched.intersection(self.told_not_run)


ClaimMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None
)
TestClaims = ClaimMachine.TestCase
