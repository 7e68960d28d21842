"""Tests of the commands that edit tables."""

import pytest


def test_apply_is_one_atomic_edit(client):
    """Guards against a file that is applied only in part."""
    valid_pool = {'kind': 'service', 'service': 'dealer-shop'}
    path = client.write_file(
        'tables.json',
        {
            'pools': {'shop': valid_pool},
            'routes': {'orders': {'match': {}, 'pool': 'missing'}},
        },
    )
    outcome = client.run('apply', path)
    assert outcome.exit_code == 3
    assert outcome.document['outcome'] == 'rejected'
    assert outcome.document['details'] == [
        "route 'orders': pool names no pool: 'missing'"
    ]
    assert client.run('pool', 'list').document['pools'] == {}


def test_the_first_edit_prints_revision_0(client):
    """Guards against revision 0 being treated as no revision."""
    path = client.write_file(
        'pool.json', {'kind': 'service', 'service': 'new'}
    )
    outcome = client.run('pool', 'put', 'shop', path, output='table')
    assert outcome.stdout == 'accepted at offset 0, revision 0\n'


def test_put_get_list_and_delete(shop_client):
    """Guards against a row that is read differently from how it was put."""
    path = shop_client.write_file(
        'pool.json', {'kind': 'service', 'service': 'sheets'}
    )
    assert (
        shop_client.run('pool', 'put', 'sheets', path).document['offset'] == 1
    )
    assert shop_client.run('pool', 'get', 'sheets').document == {
        'row': {'name': 'sheets', 'kind': 'service', 'service': 'sheets'},
        'revision': 1,
    }
    assert set(shop_client.run('pool', 'list').document['pools']) == {
        'shop',
        'sheets',
    }
    assert shop_client.run('pool', 'delete', 'sheets').exit_code == 0
    assert shop_client.run('pool', 'get', 'sheets').exit_code == 6


def test_only_the_first_of_two_edits_with_the_same_base_is_accepted(
    shop_client,
):
    """Guards against overwriting the edit of another operator."""
    first = shop_client.write_file(
        'first.json', {'kind': 'service', 'service': 'one'}
    )
    second = shop_client.write_file(
        'second.json', {'kind': 'service', 'service': 'two'}
    )
    base = ('--expect-revision', '0')
    assert shop_client.run('pool', 'put', 'shop', first, *base).exit_code == 0
    outcome = shop_client.run('pool', 'put', 'shop', second, *base)
    assert outcome.exit_code == 3
    assert outcome.document['standing'][0]['revision'] == 1
    assert outcome.document['standing'][0]['row']['service'] == 'one'


def test_an_edit_whose_response_is_lost_is_accepted_once(shop_client):
    """Guards against a retry that is reported or applied twice."""
    shop_client.set_log_faults(lose_responses=1)
    path = shop_client.write_file(
        'pool.json', {'kind': 'service', 'service': 'new'}
    )
    outcome = shop_client.run('pool', 'put', 'shop', path)
    assert outcome.exit_code == 0
    assert outcome.document['offset'] == outcome.document['revision'] == 1


def test_an_edit_with_unknown_outcome_can_be_repeated(shop_client):
    """Guards against a repeat that reverts a later edit of the same row."""
    first = shop_client.write_file(
        'first.json', {'kind': 'service', 'service': 'one'}
    )
    later = shop_client.write_file(
        'later.json', {'kind': 'service', 'service': 'two'}
    )
    repeat = ('--edit-id', 'edit-1', '--expect-revision', '0')
    assert (
        shop_client.run('pool', 'put', 'shop', first, *repeat).exit_code == 0
    )
    assert shop_client.run('pool', 'put', 'shop', later).exit_code == 0
    outcome = shop_client.run('pool', 'put', 'shop', first, *repeat)
    assert outcome.exit_code == 0
    assert outcome.document['offset'] == 1
    current = shop_client.run('pool', 'get', 'shop').document
    assert current['row']['service'] == 'two'


def test_an_edit_id_requires_a_revision(shop_client):
    """Guards against a late repeat that is treated as a new edit."""
    path = shop_client.write_file(
        'pool.json', {'kind': 'service', 'service': 'new'}
    )
    outcome = shop_client.run(
        'pool', 'put', 'shop', path, '--edit-id', 'edit-1'
    )
    assert outcome.exit_code == 2
    assert '--expect-revision' in outcome.stderr


def test_the_outcome_of_an_edit_during_an_outage_is_unknown(shop_client):
    """Guards against reporting success or failure of an undecided edit."""
    shop_client.set_log_faults(appends_down=True)
    path = shop_client.write_file(
        'pool.json', {'kind': 'service', 'service': 'new'}
    )
    outcome = shop_client.run(
        'pool', 'put', 'shop', path, output='table', timeout_s=0.5
    )
    assert outcome.exit_code == 4
    assert 'repeat with --edit-id' in outcome.stdout


def test_a_dry_run_changes_nothing(shop_client):
    """Guards against a dry run that appends a record."""
    path = shop_client.write_file(
        'pool.json', {'kind': 'service', 'service': 'new'}
    )
    outcome = shop_client.run('pool', 'put', 'shop', path, '--dry-run')
    assert outcome.document['outcome'] == 'accepted'
    assert outcome.document['dry_run'] is True
    current = shop_client.run('pool', 'get', 'shop').document
    assert current['row']['service'] == 'dealer-shop'


def test_prune_deletes_the_rows_that_the_file_lacks(shop_client):
    """Guards against ``--prune`` keeping rows that the file lacks."""
    path = shop_client.write_file('empty.json', {'routes': {}, 'pools': {}})
    assert shop_client.run('apply', path, '--prune').exit_code == 0
    assert shop_client.run('route', 'list').document['routes'] == {}


@pytest.mark.parametrize(
    ('document', 'message'),
    [
        ({'kind': 'service', 'colour': 'red'}, 'pool p: '),
        ({'kind': 'service', 'service': 7}, 'pool p: '),
        ([], 'pool.json: expected an object'),
    ],
)
def test_an_invalid_file_is_reported_in_one_line(client, document, message):
    """Guards against a traceback for an invalid file."""
    path = client.write_file('pool.json', document)
    outcome = client.run('pool', 'put', 'p', path)
    assert outcome.exit_code == 2
    assert outcome.stderr.startswith(f'Error: {message}')
    assert len(outcome.stderr.splitlines()) == 1


def test_an_unreachable_log_is_reported_in_one_line(client):
    """Guards against a traceback while the platform is down."""
    outcome = client.run('route', 'list', log_url='http://127.0.0.1:9')
    assert outcome.exit_code == 5
    assert len(outcome.stderr.splitlines()) == 1


def test_deleting_a_missing_row_is_not_found(client):
    """Guards against appending an edit that deletes no row."""
    assert client.run('route', 'delete', 'nothing').exit_code == 6


def test_list_prints_a_table(shop_client):
    """Guards against a text table without headers or rows."""
    outcome = shop_client.run('route', 'list', output='table')
    assert outcome.stdout.splitlines()[0].split()[0] == 'name'
    assert 'orders' in outcome.stdout


@pytest.mark.parametrize('shell', ['bash', 'zsh', 'fish'])
def test_completion_script(client, shell):
    """Guards against a script without the program's completion variable."""
    outcome = client.run('completion', shell)
    assert outcome.exit_code == 0
    assert '_DOTTERELWEIR_COMPLETE' in outcome.stdout
