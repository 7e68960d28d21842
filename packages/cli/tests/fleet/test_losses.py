"""The ledger of losses, from the lines of an instance."""

import json

from click import testing
import pytest

from dotterelweir_cli import main
from dotterelweir_cli.fleet import logs
from dotterelweir_cli.fleet import losses


def line(second, message, instance_id='i1', **fields):
    found = logs.parse(
        json.dumps(
            {
                'message': message,
                'instance_id': instance_id,
                'zone': 'a',
                'time': f'2026-01-11T15:00:{second:06.3f}+00:00',
                **fields,
            }
        ).encode()
    )
    assert found is not None
    return found


def chosen(second=1, **fields):
    return line(
        second,
        'gateway-target-chosen',
        request_id='r1',
        target_id='t1',
        tokens=500,
        route='guide',
        **fields,
    )


def attempt(end, second=5, target_id='t1'):
    return line(
        second,
        'gateway-attempt-ended',
        request_id='r1',
        target_id=target_id,
        end=end,
    )


def moved(result, second=4):
    return line(
        second, 'run-moved', request_id='r1', source='t1', result=result
    )


def ended(outcome, second=6, **fields):
    times = {'first_s': 0.5, 'longest_pause_s': 0.05, **fields}
    return line(
        second,
        'gateway-request-ended',
        request_id='r1',
        outcome=outcome,
        route='guide',
        taken_s=5.0,
        objective_s=2.0,
        event_gap_s=0.18,
        tokens=500,
        **times,
    )


def carried_over():
    return line(5, 'generation-carried-over', request_id='r1')


def waited(waited_s):
    return line(1, 'waited-for-room', request_id='r1', waited_s=waited_s)


CASES = [
    ([chosen(), ended('200')], None),
    ([chosen(), ended('200', first_s=2.5)], losses.Cause.LATE_PREFILL),
    (
        [waited(1.5), chosen(), ended('200', first_s=2.5)],
        losses.Cause.LATE_ROOM,
    ),
    (
        [chosen(), chosen(2), ended('200', first_s=2.5)],
        losses.Cause.LATE_RETRY,
    ),
    (
        [chosen(), carried_over(), ended('200', longest_pause_s=0.4)],
        losses.Cause.LATE_HANDOVER,
    ),
    ([chosen(), ended('200', longest_pause_s=0.4)], losses.Cause.LATE_PAUSE),
    (
        [chosen(), attempt('interrupted'), ended('stream-lost')],
        losses.Cause.NO_COPY,
    ),
    (
        [chosen(), attempt('not run'), ended('stream-lost')],
        losses.Cause.COPY_GONE,
    ),
    (
        [chosen(), attempt('caller lost'), ended('stream-lost')],
        losses.Cause.CALLER_LEFT,
    ),
    (
        [
            chosen(),
            moved('failed'),
            attempt('interrupted'),
            ended('stream-lost'),
        ],
        losses.Cause.MOVE_REFUSED,
    ),
    (
        [
            chosen(),
            moved('unreachable'),
            attempt('interrupted'),
            ended('stream-lost'),
        ],
        losses.Cause.MOVE_UNFINISHED,
    ),
    (
        [
            line(4, 'gateway-peer-changed', state='silent'),
            chosen(),
            ended('stream-lost'),
        ],
        losses.Cause.CUT_ZONE,
    ),
    (
        [
            chosen(),
            line(5, 'repeat-budget-empty', request_id='r1'),
            ended('target-refused'),
        ],
        losses.Cause.BUDGET_EMPTY,
    ),
    ([chosen(), ended('500')], losses.Cause.TARGET_FAILED),
    ([ended('target-refused')], losses.Cause.TARGET_REFUSED),
    ([waited(4.8), ended('queue-timeout')], losses.Cause.NO_ROOM),
    ([chosen(), ended('cancelled')], losses.Cause.CALLER_LEFT),
    ([chosen()], losses.Cause.INSTANCE_ENDED),
    ([ended('a-new-kind')], losses.Cause.UNKNOWN),
]


@pytest.mark.parametrize(('lines', 'cause'), CASES)
def test_each_loss_has_its_cause(lines, cause):
    """Guards against losses that are blamed on something else."""
    ledger = losses.collect(sorted(lines, key=lambda one: one.at))
    assert ledger.owed == 1
    assert [loss.cause for loss in ledger.losses] == ([cause] if cause else [])
    for loss in ledger.losses:
        assert (loss.zone, loss.tokens) == ('a', 500)


def test_requests_that_are_not_allowed_are_not_owed():
    """Guards against a caller's mistakes in the ledger."""
    ledger = losses.collect([ended('key-unknown')])
    assert (ledger.owed, ledger.losses) == (0, [])


def test_the_command_prints_and_draws(tmp_path):
    """Guards against a ledger that cannot be read."""
    path = tmp_path / 'i1.log'
    raw = {
        'message': 'gateway-request-ended',
        'instance_id': 'i1',
        'zone': 'a',
        'time': '2026-01-11T15:00:01+00:00',
        'request_id': 'r1',
        'outcome': 'pool-empty',
    }
    path.write_text(json.dumps(raw) + '\n')
    plot = tmp_path / 'losses.png'
    arguments = ['fleet', 'losses', str(path), '--plot', str(plot)]
    result = testing.CliRunner().invoke(
        main.main, ['--output', 'json', *arguments]
    )
    assert result.exit_code == 0, result.output
    told = json.loads(result.output)
    assert told['lost_or_late'] == told['owed'] == 1
    assert told['causes'][0]['cause'] == 'no target known'
    assert plot.stat().st_size > 0
