"""Random histories on several instances against a simple reference.

The reference keeps every edit for ever and decides by the words of the
design. The result window is made small, so that short histories leave it.
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
    """Decides edits with unlimited memory."""

    def __init__(self):
        self.decided = []
        self.tables = model.Tables()
        self.changed = {}
        self.effects = {}

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
                self.changed.get(row, -1) <= edit.read_offset for row in rows
            )
            and len(rows) == len(set(rows)) > 0
            and not model.validate(after)
        )
        if accepted:
            self.tables = after
            self.changed.update(dict.fromkeys(rows, offset))
            self.effects.setdefault(edit.edit_id, []).append(offset)
        self.decided.append((edit.edit_id, accepted, offset))
        return accepted


class World:
    """A log with retention, its instances and their checkpoints."""

    def __init__(self, instances):
        self.data = []
        self.first = 0
        self.edits = []
        self.accepted = {}
        self.reference = Reference()
        self.tables = [self.reference.tables]
        self.states = [fold.TablesState() for _ in range(instances)]
        # Checkpoints that paused writers have made and not appended yet.
        self.pending = []

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

    def follow(self, index, most):
        state = self.states[index]
        for _ in range(most):
            if state is None or state.offset + 1 < self.first:
                return self.restart(index)
            offset = state.offset + 1
            if offset == len(self.data):
                return None
            result = fold.fold(state, offset, self.data[offset])
            if isinstance(result, fold.EditResult):
                assert result.decision.accepted == self.accepted[offset]
            # An accepted edit is never reverted but by a later one.
            assert state.tables == self.tables[offset + 1]
        return None

    def restart(self, index):
        point = checkpoint.StartingPoint(self.first)
        for offset in range(self.first, len(self.data)):
            point.add(offset, self.data[offset])
        self.take(index, point.finish())

    def take(self, index, state):
        self.states[index] = state
        if state is not None:
            assert state.tables == self.tables[state.offset + 1]


def pool(name, variant):
    # Variant 3 is not valid, so some edits are rejected for their rows.
    service = '' if variant == 3 else f's{variant}'
    return model.Pool(name, targets_model.TargetKind.SERVICE, service)


def route(name, variant):
    return model.Route(
        name, model.Match(), POOLS[variant % 2], priority=variant
    )


names = st.integers(0, 1)
variants = st.integers(0, 3)
edits = st.builds(
    lambda lag, put_routes, put_pools, gone_routes, gone_pools: (
        lag,
        tuple(route(ROUTES[n], v) for n, v in put_routes),
        tuple(pool(POOLS[n], v) for n, v in put_pools),
        tuple(ROUTES[n] for n in gone_routes),
        tuple(POOLS[n] for n in gone_pools),
    ),
    # How far the author's read is behind the log's end; -1 is impossible.
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
    # So many other edits that earlier ones leave the result window.
    st.tuples(st.just('burst'), st.integers(4, 9)),
    st.tuples(st.just('junk'), st.binary(max_size=4)),
    st.tuples(st.just('follow'), st.tuples(st.integers(0, 2), variants)),
    st.tuples(st.just('restart'), st.integers(0, 2)),
    st.tuples(st.just('prepare'), st.integers(0, 2)),
    st.tuples(st.just('publish'), st.integers(0, 5)),
    st.tuples(st.just('expire'), st.integers(1, 6)),
    st.tuples(st.just('snapshot'), st.tuples(st.integers(0, 2), names)),
)


def run(world, action, argument):
    match action:
        case 'edit':
            lag, *rows = argument
            edit = records.EditRecord(
                f'e{len(world.edits)}',
                max(-1, len(world.data) - 1 - lag),
                *rows,
            )
            world.edits.append(edit)
            world.append(records.encode(edit))
        case 'repeat' if world.edits:
            edit = world.edits[-1 - argument % len(world.edits)]
            world.append(records.encode(edit))
        case 'burst':
            for _ in range(argument):
                offset = len(world.data) - 1
                other = pool('other', 1)
                edit = records.EditRecord(f'b{offset}', offset, (), (other,))
                world.append(records.encode(edit))
        case 'junk':
            world.append(argument)
        case 'follow':
            world.follow(*argument)
        case 'restart':
            world.restart(argument)
        case 'prepare':
            state = world.states[argument]
            if state is not None and state.offset >= 0:
                world.pending.append(checkpoint.make(state))
        case 'publish' if world.pending:
            record = world.pending.pop(argument % len(world.pending))
            world.append(records.encode(record))
        case 'expire':
            world.first = min(len(world.data), world.first + argument)
        case 'snapshot':
            # A peer that is behind takes the state of one that is ahead.
            index, step = argument
            taker = world.states[index]
            giver = world.states[(index + 1 + step) % 3]
            if giver is not None and (
                taker is None or giver.offset > taker.offset
            ):
                data = records.encode(checkpoint.make(giver))
                world.take(index, checkpoint.restore_snapshot(data))


@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
@hypothesis.given(st.lists(actions, min_size=20, max_size=80))
def test_random_histories_agree_with_the_reference(history):
    """Guards against repeats that count twice, reverts and divergence."""
    with mock.patch.object(fold, 'RESULT_WINDOW', WINDOW):
        world = World(3)
        for action, argument in history:
            run(world, action, argument)
        for effects in world.reference.effects.values():
            assert len(effects) == 1
        for index in range(3):
            world.follow(index, len(world.data))
        digests = {
            checkpoint.digest(state, 0)
            for state in world.states
            if state is not None
        }
        assert len(digests) <= 1
