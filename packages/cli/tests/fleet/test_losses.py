"""Tests of the attribution of lost and late requests."""

import json

from click import testing
import pytest

from dotterelweir_cli import main
from dotterelweir_cli.fleet import logs
from dotterelweir_cli.fleet import losses


def log_line(second, message, instance_id='i1', **fields):
    """Returns a log line.

    Args:
        second: Time of the line, in seconds after 15:00.
        message: Name of the event.
        instance_id: Instance that wrote the line.
        **fields: Fields of the event.
    """
    parsed_line = logs.parse(
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
    assert parsed_line is not None
    return parsed_line


def target_chosen(second=1, **fields):
    return log_line(
        second,
        'gateway-target-chosen',
        request_id='r1',
        target_id='t1',
        tokens=500,
        route='guide',
        **fields,
    )


def attempt_ended(end, second=5, target_id='t1'):
    return log_line(
        second,
        'gateway-attempt-ended',
        request_id='r1',
        target_id=target_id,
        end=end,
    )


def run_moved(result, second=4):
    return log_line(
        second, 'run-moved', request_id='r1', source='t1', result=result
    )


def request_ended(outcome, second=6, **fields):
    times = {'first_s': 0.5, 'longest_pause_s': 0.05, **fields}
    return log_line(
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


def generation_carried_over():
    return log_line(5, 'generation-carried-over', request_id='r1')


def waited_for_capacity(waited_s):
    return log_line(1, 'waited-for-room', request_id='r1', waited_s=waited_s)


# Log lines of a request and the cause of its loss; None for no loss.
CASES = [
    ([target_chosen(), request_ended('200')], None),
    (
        [target_chosen(), request_ended('200', first_s=2.5)],
        losses.Cause.LATE_PREFILL,
    ),
    (
        [
            waited_for_capacity(1.5),
            target_chosen(),
            request_ended('200', first_s=2.5),
        ],
        losses.Cause.LATE_CAPACITY_WAIT,
    ),
    (
        [target_chosen(), target_chosen(2), request_ended('200', first_s=2.5)],
        losses.Cause.LATE_RETRY,
    ),
    (
        [
            target_chosen(),
            generation_carried_over(),
            request_ended('200', longest_pause_s=0.4),
        ],
        losses.Cause.LATE_HANDOVER,
    ),
    (
        [target_chosen(), request_ended('200', longest_pause_s=0.4)],
        losses.Cause.LATE_PAUSE,
    ),
    (
        [
            target_chosen(),
            attempt_ended('interrupted'),
            request_ended('stream-lost'),
        ],
        losses.Cause.NO_COPY,
    ),
    (
        [
            target_chosen(),
            attempt_ended('not run'),
            request_ended('stream-lost'),
        ],
        losses.Cause.COPY_UNAVAILABLE,
    ),
    (
        [
            target_chosen(),
            attempt_ended('caller lost'),
            request_ended('stream-lost'),
        ],
        losses.Cause.CALLER_LEFT,
    ),
    (
        [
            target_chosen(),
            run_moved('failed'),
            attempt_ended('interrupted'),
            request_ended('stream-lost'),
        ],
        losses.Cause.MOVE_REFUSED,
    ),
    (
        [
            target_chosen(),
            run_moved('unreachable'),
            attempt_ended('interrupted'),
            request_ended('stream-lost'),
        ],
        losses.Cause.MOVE_UNFINISHED,
    ),
    (
        [
            log_line(4, 'gateway-peer-changed', state='silent'),
            target_chosen(),
            request_ended('stream-lost'),
        ],
        losses.Cause.ZONE_PARTITIONED,
    ),
    (
        [
            target_chosen(),
            log_line(5, 'repeat-budget-empty', request_id='r1'),
            request_ended('target-refused'),
        ],
        losses.Cause.RETRY_BUDGET_EMPTY,
    ),
    ([target_chosen(), request_ended('500')], losses.Cause.TARGET_FAILED),
    ([request_ended('target-refused')], losses.Cause.TARGET_REFUSED),
    (
        [waited_for_capacity(4.8), request_ended('queue-timeout')],
        losses.Cause.NO_CAPACITY,
    ),
    ([target_chosen(), request_ended('cancelled')], losses.Cause.CALLER_LEFT),
    ([target_chosen(), request_ended('cut-off')], losses.Cause.CUT_OFF),
    ([target_chosen()], losses.Cause.INSTANCE_ENDED),
    ([request_ended('a-new-kind')], losses.Cause.UNKNOWN),
]


@pytest.mark.parametrize(('lines', 'cause'), CASES)
def test_each_loss_is_attributed_to_its_cause(lines, cause):
    """Guards against losses that are attributed to another cause."""
    loss_report = losses.collect(
        sorted(lines, key=lambda line: line.written_at)
    )
    assert loss_report.eligible_requests == 1
    assert [loss.cause for loss in loss_report.losses] == (
        [cause] if cause else []
    )
    for loss in loss_report.losses:
        assert (loss.zone, loss.tokens) == ('a', 500)


def test_invalid_requests_are_not_counted():
    """Guards against invalid requests that are counted as losses."""
    loss_report = losses.collect([request_ended('key-unknown')])
    assert (loss_report.eligible_requests, loss_report.losses) == (0, [])


def test_losses_prints_causes_and_draws_a_plot(tmp_path):
    """Guards against a command that prints no causes or draws no plot."""
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
    document = json.loads(result.output)
    assert document['lost_or_late'] == document['owed'] == 1
    assert document['causes'][0]['cause'] == 'no target known'
    assert plot.stat().st_size > 0
