"""Random histories on several instances against a reference model.

The reference model keeps every edit and applies the rules of the design
directly. The result window is small, so that even short histories exceed it.
"""

from unittest import mock

import hypothesis
from hypothesis import strategies as st

from dotterelweir_core.tables import checkpoint
from dotterelweir_core.tables import fold
from dotterelweir_core.tables import model
from dotterelweir_core.tables import records
from dotterelweir_core.targets import model as targets_model

WINDOW = 8
POOLS = ('p1', 'p2')
ROUTES = ('r1', 'r2')


class Reference:
    """Decides edits from the complete history."""

    def __init__(self):
        self.decided = []
        self.tables = model.Tables()
        self.changed_offsets = {}
        self.accepted_offsets = {}

    def apply(self, offset, edit):
        window = self.decided[-WINDOW:]
        for edit_id, accepted, _ in window:
            if edit_id == edit.edit_id:
                return accepted
        dropped = self.decided[:-WINDOW]
        floor = dropped[-1][2] if dropped else -1
        rows = [('route', row.name) for row in edit.put_routes]
        rows += [('route', name) for name in edit.delete_routes]
        rows += [('pool', row.name) for row in edit.put_pools]
        rows += [('pool', name) for name in edit.delete_pools]
        routes = dict(self.tables.routes)
        pools = dict(self.tables.pools)
        for name in edit.delete_routes:
            routes.pop(name, None)
        for name in edit.delete_pools:
            pools.pop(name, None)
        routes.update({row.name: row for row in edit.put_routes})
        pools.update({row.name: row for row in edit.put_pools})
        after = model.Tables(routes, pools, offset)
        accepted = (
            floor <= edit.read_offset < offset
            and all(
                self.changed_offsets.get(row, -1) <= edit.read_offset
                for row in rows
            )
            and len(rows) == len(set(rows)) > 0
            and not model.validate(after)
        )
        if accepted:
            self.tables = after
            self.changed_offsets.update(dict.fromkeys(rows, offset))
            self.accepted_offsets.setdefault(edit.edit_id, []).append(offset)
        self.decided.append((edit.edit_id, accepted, offset))
        return accepted


class Simulation:
    """Simulates a log with retention, its instances and their checkpoints."""

    def __init__(self, instances):
        self.data = []
        self.first_offset = 0
        self.edits = []
        self.accepted = {}
        self.reference = Reference()
        self.tables = [self.reference.tables]
        self.states = [fold.TablesState() for _ in range(instances)]
        # Checkpoints that paused writers have created but not appended.
        self.pending_checkpoints = []

    def append(self, data):
        offset = len(self.data)
        self.data.append(data)
        try:
            record = records.decode(data)
        except records.UnreadableRecordError:
            record = None
        if isinstance(record, records.EditRecord):
            self.accepted[offset] = self.reference.apply(offset, record)
        self.tables.append(self.reference.tables)

    def follow(self, index, max_records):
        state = self.states[index]
        for _ in range(max_records):
            if state is None or state.offset + 1 < self.first_offset:
                return self.restart(index)
            offset = state.offset + 1
            if offset == len(self.data):
                return None
            result = fold.fold(state, offset, self.data[offset])
            if isinstance(result, fold.EditResult):
                assert result.decision.accepted == self.accepted[offset]
            # Only a later edit can revert an accepted one.
            assert state.tables == self.tables[offset + 1]
        return None

    def restart(self, index):
        log_replay = checkpoint.LogReplay(self.first_offset)
        for offset in range(self.first_offset, len(self.data)):
            log_replay.add(offset, self.data[offset])
        self.set_state(index, log_replay.finish())

    def set_state(self, index, state):
        self.states[index] = state
        if state is not None:
            assert state.tables == self.tables[state.offset + 1]


def pool(name, variant):
    # Variant 3 is invalid, so that some edits are rejected for their rows.
    service = '' if variant == 3 else f's{variant}'
    return model.Pool(name, targets_model.TargetKind.SERVICE, service)


def route(name, variant):
    return model.Route(
        name, model.Match(), POOLS[variant % 2], priority=variant
    )


names = st.integers(0, 1)
variants = st.integers(0, 3)
edits = st.builds(
    lambda lag, put_routes, put_pools, deleted_routes, deleted_pools: (
        lag,
        tuple(route(ROUTES[n], v) for n, v in put_routes),
        tuple(pool(POOLS[n], v) for n, v in put_pools),
        tuple(ROUTES[n] for n in deleted_routes),
        tuple(POOLS[n] for n in deleted_pools),
    ),
    # Lag of the author's read_offset behind the end of the log; -1 is
    # invalid.
    st.one_of(st.integers(0, 2), st.integers(-1, 12)),
    st.lists(st.tuples(names, variants), max_size=1),
    st.lists(st.tuples(names, variants), max_size=2),
    st.lists(names, max_size=1),
    st.lists(names, max_size=1),
)
actions = st.one_of(
    st.tuples(st.just('edit'), edits),
    st.tuples(st.just('edit'), edits),
    st.tuples(st.just('repeat'), st.integers(0, 30)),
    st.tuples(st.just('repeat'), st.integers(0, 30)),
    # Enough other edits to drop earlier ones from the result window.
    st.tuples(st.just('burst'), st.integers(4, 9)),
    st.tuples(st.just('junk'), st.binary(max_size=4)),
    st.tuples(st.just('follow'), st.tuples(st.integers(0, 2), variants)),
    st.tuples(st.just('restart'), st.integers(0, 2)),
    st.tuples(st.just('prepare'), st.integers(0, 2)),
    st.tuples(st.just('publish'), st.integers(0, 5)),
    st.tuples(st.just('expire'), st.integers(1, 6)),
    st.tuples(st.just('snapshot'), st.tuples(st.integers(0, 2), names)),
)


def run(simulation, action, argument):
    match action:
        case 'edit':
            lag, *rows = argument
            edit = records.EditRecord(
                f'e{len(simulation.edits)}',
                max(-1, len(simulation.data) - 1 - lag),
                *rows,
            )
            simulation.edits.append(edit)
            simulation.append(records.encode(edit))
        case 'repeat' if simulation.edits:
            edit = simulation.edits[-1 - argument % len(simulation.edits)]
            simulation.append(records.encode(edit))
        case 'burst':
            for _ in range(argument):
                offset = len(simulation.data) - 1
                other = pool('other', 1)
                edit = records.EditRecord(f'b{offset}', offset, (), (other,))
                simulation.append(records.encode(edit))
        case 'junk':
            simulation.append(argument)
        case 'follow':
            simulation.follow(*argument)
        case 'restart':
            simulation.restart(argument)
        case 'prepare':
            state = simulation.states[argument]
            if state is not None and state.offset >= 0:
                simulation.pending_checkpoints.append(checkpoint.make(state))
        case 'publish' if simulation.pending_checkpoints:
            record = simulation.pending_checkpoints.pop(
                argument % len(simulation.pending_checkpoints)
            )
            simulation.append(records.encode(record))
        case 'expire':
            simulation.first_offset = min(
                len(simulation.data), simulation.first_offset + argument
            )
        case 'snapshot':
            # An instance that lags installs the state of one that is ahead.
            index, step = argument
            receiver = simulation.states[index]
            sender = simulation.states[(index + 1 + step) % 3]
            if sender is not None and (
                receiver is None or sender.offset > receiver.offset
            ):
                data = records.encode(checkpoint.make(sender))
                simulation.set_state(index, checkpoint.restore_snapshot(data))


@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
@hypothesis.given(st.lists(actions, min_size=20, max_size=80))
def test_random_histories_agree_with_the_reference(history):
    """Guards against repeats with a second effect, reverts and divergence."""
    with mock.patch.object(fold, 'RESULT_WINDOW', WINDOW):
        simulation = Simulation(3)
        for action, argument in history:
            run(simulation, action, argument)
        for accepted_offsets in simulation.reference.accepted_offsets.values():
            assert len(accepted_offsets) == 1
        for index in range(3):
            simulation.follow(index, len(simulation.data))
        digests = {
            checkpoint.digest(state, 0)
            for state in simulation.states
            if state is not None
        }
        assert len(digests) <= 1
