"""Tests of the ``fleet`` commands for a deployment of gateways."""

import asyncio
import json

from click import testing
import pytest

from dotterelweir_cli import main
from dotterelweir_cli.fleet import deployment
from dotterelweir_cli.fleet import logs
from dotterelweir_cli.fleet import report
from dotterelweir_fakes.fleet import deployment as fake_deployment


def log_line(second, message, **fields):
    """Returns a log line of a gateway.

    Args:
        second: Time of the line, in seconds after 15:00.
        message: Name of the event.
        **fields: Fields of the event; ``instance_id`` replaces the default.
    """
    return json.dumps(
        {
            'message': message,
            'level': 'INFO',
            'logger': 'x',
            'instance_id': fields.pop('instance_id', 'i1'),
            'zone': 'a',
            'event': 1,
            'time': f'2026-01-11T15:00:{second:06.3f}+00:00',
            **fields,
        }
    )


@pytest.fixture
def log_files(tmp_path):
    """Logs of two instances; request r1 is handed over from t1 to t2."""
    first = [
        'a line of another program',
        log_line(
            1, 'target-changed', target_id='t1', before='absent', after='ready'
        ),
        log_line(
            1, 'target-changed', target_id='t9', before='absent', after='ready'
        ),
        log_line(
            2,
            'gateway-target-chosen',
            request_id='r1',
            target_id='t1',
            backup_id='t2',
        ),
        log_line(
            3,
            'gateway-attempt-ended',
            request_id='r1',
            target_id='t1',
            end='interrupted',
            first_s=0.2,
            longest_pause_s=0.1,
        ),
        log_line(
            3.1,
            'generation-carried-over',
            request_id='r1',
            source='t1',
            target_id='t2',
            way='copy kept',
        ),
        log_line(
            5,
            'gateway-attempt-ended',
            request_id='r1',
            target_id='t2',
            end='complete',
            first_s=0.2,
            longest_pause_s=0.3,
        ),
        log_line(5, 'gateway-request-ended', request_id='r1', outcome='200'),
    ]
    second = [
        log_line(2.5, 'store-unreachable', instance_id='i2', stream='targets'),
        'front-1 '
        + log_line(
            4, 'gateway-request-ended', instance_id='i2', outcome='pool-empty'
        ),
    ]
    paths = []
    for name, rows in (('i1.log', first), ('i2.log', second)):
        path = tmp_path / name
        path.write_text('\n'.join(rows) + '\n')
        paths.append(path)
    return paths


def invoke_fleet(*arguments):
    """Runs a ``fleet`` command with JSON output."""
    return testing.CliRunner().invoke(
        main.main, ['--output', 'json', 'fleet', *map(str, arguments)]
    )


def test_explain_shows_decisions_and_state_changes(log_files):
    """Guards against an explanation without a handover."""
    result = invoke_fleet('explain', 'r1', *log_files)
    assert result.exit_code == 0
    status_document = json.loads(result.stdout)
    assert [row['event'] for row in status_document['decisions']] == [
        'gateway-target-chosen',
        'gateway-attempt-ended',
        'generation-carried-over',
        'gateway-attempt-ended',
        'gateway-request-ended',
    ]
    # Lines of other instances and of other targets are left out.
    assert [row['target_id'] for row in status_document['beliefs']] == ['t1']


def test_an_unknown_request_is_an_error(log_files):
    """Guards against an empty explanation of a mistyped request_id."""
    result = invoke_fleet('explain', 'r7', *log_files)
    assert result.exit_code == 6
    assert 'no line names request r7' in result.stderr


def test_report_counts_outcomes_and_draws_a_plot(log_files, tmp_path):
    """Guards against a report without all outcomes and a broken plot."""
    plot = tmp_path / 'run.png'
    result = invoke_fleet('report', *log_files, '--plot', plot)
    assert result.exit_code == 0
    status_document = json.loads(result.stdout)
    assert status_document['requests ended: 200'] == 1
    assert status_document['requests ended: pool-empty'] == 1
    assert status_document['handovers: copy kept'] == 1
    assert status_document['outages of the store seen'] == 1
    assert status_document['lines skipped'] == 1
    assert plot.read_bytes().startswith(b'\x89PNG')


def test_a_plot_of_an_unknown_format_is_an_error(log_files, tmp_path):
    """Guards against a traceback for an unsupported suffix."""
    result = invoke_fleet(
        'report', *log_files, '--plot', tmp_path / 'run.what'
    )
    assert result.exit_code == 2
    assert 'cannot draw run.what' in result.stderr


def test_report_of_no_lines():
    """Guards against a failure on empty logs."""
    statistics = report.collect([])
    assert report.statistic_rows(statistics) == [
        ['outages of the store seen', 0]
    ]


@pytest.mark.parametrize(
    'raw', [b'', b'text', b'{"time": 7}', b'{"message": "x"}', b'{broken']
)
def test_other_text_is_not_a_log_line(raw):
    """Guards against a failure on a truncated line or other text."""
    assert logs.parse(raw) is None


def status_document(name, version=3, **changes):
    """Returns the status document of an instance.

    Args:
        name: The instance_id.
        version: Version of the tables.
        **changes: Fields that differ from the default.
    """
    return {
        'instance_id': name,
        'ready': True,
        'stopping': False,
        'running': 1,
        'tables_version': version,
        'streams': {'targets': {'store_answers': True, 'content': 'c'}},
        'targets': [],
        'peers': [],
        **changes,
    }


def test_summary_names_instances_that_differ():
    """Guards against a summary that hides instances that differ."""
    deployment_status = deployment.DeploymentStatus(
        {
            'i1': status_document(
                'i1', peers=[{}, {}], evacuated_zones=['zone-a']
            ),
            'i2': status_document('i2', version=2),
            'i3': status_document(
                'i3',
                stopping=True,
                streams={'targets': {'store_answers': False, 'content': 'd'}},
            ),
        },
        {'i4': 'unreachable'},
    )
    summary_fields = deployment.summary(deployment_status)
    assert summary_fields['older_tables'] == ['i2']
    assert summary_fields['store_does_not_answer'] == ['i3']
    assert summary_fields['stopping'] == ['i3']
    assert summary_fields['silent'] == ['i4']
    assert summary_fields['views_of_targets'] == 2
    assert summary_fields['evacuated_zones'] == []
    assert summary_fields['other_evacuated_zones'] == ['i1: zone-a']
    assert summary_fields['hears_less_than_all'] == ['i2', 'i3']


def test_target_rows_have_the_median_of_the_learned_speeds():
    """Guards against one false speed, and against instances without one."""
    row = {
        'target_id': 'engine-1',
        'service': 'model',
        'zone': 'a',
        'state': 'ready',
        'running': 1,
        'tokens': 2,
        'avoided': False,
    }
    rows = deployment.target_rows(
        deployment.DeploymentStatus(
            {
                f'i{number}': status_document(
                    f'i{number}', targets=[{**row, **speed}]
                )
                for number, speed in enumerate(
                    [{}, {'speed': None}, {'speed': 2.2}, {'speed': 2.2}]
                    + [{'speed': 0.3}]
                )
            },
            {},
        )
    )
    assert [row['speed'] for row in rows] == [2.2]


async def test_status_of_a_running_gateway():
    """Guards against status fields that a real gateway does not have."""
    gateway_deployment = fake_deployment.Deployment()
    address = await gateway_deployment.start_store()
    await gateway_deployment.store.write_json(
        'keyed.op', 'config', fake_deployment.configuration()
    )
    await gateway_deployment.add_engine('engine-1', 'model')
    await gateway_deployment.start(address)
    await gateway_deployment.wait_ready()
    try:
        result = await asyncio.to_thread(
            invoke_fleet,
            'status',
            '--instance',
            gateway_deployment.peers_address,
        )
    finally:
        await gateway_deployment.close()
    assert result.exit_code == 0, result.stderr
    printed = json.loads(result.stdout)
    assert printed['instances'] == printed['ready'] == 1
    assert printed['tables_version'] == 1
    assert printed['evacuated_zones'] == []
    assert [row['target'] for row in printed['targets']] == ['engine-1']


def test_heads_of_queues_are_listed_the_most_urgent_first():
    """Guards against a status that hides who waits, or fails without it."""
    rows = [
        {'service': 'model', 'priority': priority, 'due_in_s': due_in_s}
        for priority, due_in_s in ((1, -2.0), (0, 3.0), (0, 1.0))
    ]
    deployment_status = deployment.DeploymentStatus(
        {
            'i1': status_document('i1', queues=rows[:2]),
            'i2': status_document('i2', queues=rows[2:]),
            'older': status_document('older'),
        },
        {},
    )
    listed = deployment.queue_rows(deployment_status)
    assert [row['instance'] for row in listed] == ['i2', 'i1', 'i1']
    assert listed[-1]['priority'] == 1
