"""The ``slopes state`` command: costs of the state in an instance.

The state consists of tables, claims, leases and targets.
"""

import itertools

import click

from dotterelweir_core import errors
from dotterelweir_core.claims import fold as claims_fold
from dotterelweir_core.claims import records as claims_records
from dotterelweir_core.leases import fold as leases_fold
from dotterelweir_core.tables import checkpoint
from dotterelweir_core.tables import fold as tables_fold
from dotterelweir_core.tables import model as tables_model
from dotterelweir_core.tables import records as tables_records
from dotterelweir_core.targets import model as targets_model
from dotterelweir_core.targets import registry
from dotterelweir_fakes import slopes_report

_ROWS = (50, 200, 800, 2_200)
_CLAIMS = (1_000, 4_000, 16_000, 40_000)
_LEASES = (6, 26, 104, 416)
_TARGETS = (61, 122, 243, 486)
_CLAIM_LIFETIME_S = 86_400.0


@click.command()
def state() -> None:
    """Memory and CPU of tables, claims, leases and targets."""
    measure_and_print = slopes_report.measure_and_print
    measure_and_print(
        'tables: memory (bytes) against routes',
        _ROWS,
        lambda size: slopes_report.memory_bytes(lambda: _make_tables(size)),
    )
    measure_and_print(
        'tables: CPU (us) to fold one edit against routes',
        _ROWS,
        _fold_edit_us,
    )
    measure_and_print(
        'tables: bytes of one checkpoint against routes',
        _ROWS,
        lambda size: len(
            tables_records.encode(checkpoint.make(_make_tables(size)))
        ),
    )
    measure_and_print(
        'claims: memory (bytes) against live claims',
        _CLAIMS,
        lambda size: slopes_report.memory_bytes(lambda: _make_claims(size)),
    )
    measure_and_print(
        'claims: CPU (us) to fold one claim against live claims',
        _CLAIMS,
        _fold_claim_us,
    )
    measure_and_print(
        'leases: memory (bytes) against leases',
        _LEASES,
        lambda size: slopes_report.memory_bytes(lambda: _make_leases(size)),
    )
    measure_and_print(
        'targets: memory (bytes) of the registry against targets',
        _TARGETS,
        lambda size: slopes_report.memory_bytes(lambda: _make_registry(size)),
    )
    measure_and_print(
        'targets: CPU (us) of one load report against targets',
        _TARGETS,
        _record_report_us,
    )


def _make_tables(routes: int) -> tables_fold.TablesState:
    state = tables_fold.TablesState()
    pool = tables_model.Pool(
        'models', targets_model.TargetKind.ENGINE, 'guide-llm', model='guide'
    )
    tables_fold.apply(
        state, 0, tables_records.EditRecord('pool', -1, put_pools=(pool,))
    )
    for number in range(routes):
        tables_fold.apply(
            state,
            number + 1,
            tables_records.EditRecord(
                f'edit-{number}', number, put_routes=(_route(number),)
            ),
        )
    return state


def _route(number: int) -> tables_model.Route:
    return tables_model.Route(
        f'route-{number}',
        tables_model.Match('/v1/', organisations=(f'org-{number}',)),
        'models',
    )


def _fold_edit_us(routes: int) -> float:
    state = _make_tables(routes)

    def edit() -> None:
        number = state.offset
        record = tables_records.EditRecord(
            f'more-{number}', number, put_routes=(_route(number % routes),)
        )
        tables_fold.fold(state, number + 1, tables_records.encode(record))

    return slopes_report.cpu_us(edit, 20)


def _claim(number: int) -> claims_records.Claim:
    return claims_records.Claim(
        f'run.{number}', f'{number:032x}', f'{number:032x}'
    )


def _make_claims(count: int) -> claims_fold.ClaimTable:
    table = claims_fold.ClaimTable(_CLAIM_LIFETIME_S)
    for number in range(count):
        _fold_claim(table, number)
    return table


def _fold_claim(table: claims_fold.ClaimTable, number: int) -> None:
    claim = _claim(number)
    time_s = number * 0.01
    table.apply(2 * number, time_s, claim)
    outcome = claims_records.Outcome(
        claim.claim_id, claim.key_hash, errors.Execution.RAN
    )
    table.apply(2 * number + 1, time_s, outcome)


def _fold_claim_us(count: int) -> float:
    table = _make_claims(count)
    numbers = itertools.count(count)

    def fold() -> None:
        number = next(numbers)
        data = claims_records.encode(_claim(number))
        claims_records.decode(data)
        _fold_claim(table, number)

    return slopes_report.cpu_us(fold, 500)


def _make_leases(count: int) -> leases_fold.LeaseTable:
    table = leases_fold.LeaseTable()
    for number in range(count):
        table.apply(
            number,
            float(number),
            leases_fold.Acquire(
                f'orders/pool-{number}', 'holder', f'request-{number}', 15.0
            ),
        )
    return table


def _make_registry(targets: int) -> registry.TargetRegistry:
    target_registry = registry.TargetRegistry()
    target_registry.record_list(
        [
            (_target(number), targets_model.TargetState.LIVE)
            for number in range(targets)
        ],
        0.0,
    )
    for number in range(targets):
        target_registry.record_report(
            _target(number), _load_report(number, 0.0), 0.0, 0.0
        )
    return target_registry


def _target(number: int) -> targets_model.Target:
    return targets_model.Target(
        f'engine-{number}', 1, 'guide-llm', 'poznan-a', '127.0.0.1', number
    )


def _load_report(
    number: int, measured_at_s: float
) -> targets_model.LoadReport:
    return targets_model.LoadReport(
        f'engine-{number}', 1, measured_at_s=measured_at_s, models=('guide',)
    )


def _record_report_us(targets: int) -> float:
    target_registry = _make_registry(targets)
    pool = tables_model.Pool(
        'models', targets_model.TargetKind.ENGINE, 'guide-llm', model='guide'
    )
    times = itertools.count(1)

    def record_and_select() -> None:
        now_s = float(next(times))
        target_registry.record_report(
            _target(1), _load_report(1, now_s), now_s, now_s
        )
        target_registry.targets_for(pool)

    return slopes_report.cpu_us(record_and_select, 200)
