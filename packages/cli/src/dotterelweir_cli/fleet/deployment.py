"""Asks every instance of a deployment and sums up what they say."""

import asyncio
import collections
from typing import Any

import attrs

from dotterelweir_cli import admin
from dotterelweir_cli import exits

# Instances that are asked at the same time; a laptop's descriptors allow more.
_ASKED_AT_ONCE = 50

Document = dict[str, Any]


@attrs.frozen
class Deployment:
    """What the instances of a deployment say.

    Attributes:
        answered: Documents of the instances that answered, by name.
        silent: Instances that others know and that did not answer.
    """

    answered: dict[str, Document]
    silent: dict[str, str]


async def ask(first: str, timeout_s: float) -> Deployment:
    """Asks one instance, and then all that it and the others know.

    Args:
        first: ``host:port`` of any instance; all have the same port.
        timeout_s: Bound on each answer.

    Raises:
        CommandError: The first instance does not answer.
    """
    port = first.rpartition(':')[2]
    document = await _ask_one(first, timeout_s)
    answered = {document['instance_id']: document}
    silent: dict[str, str] = {}
    limit = asyncio.Semaphore(_ASKED_AT_ONCE)

    async def visit(instance_id: str, host: str) -> None:
        async with limit:
            try:
                answered[instance_id] = await _ask_one(
                    f'{host}:{port}', timeout_s
                )
            except exits.CommandError as exc:
                silent[instance_id] = str(exc)

    while True:
        known = {
            peer['instance_id']: peer['host']
            for one in answered.values()
            for peer in one['peers']
        }
        new = known.keys() - answered.keys() - silent.keys()
        if not new:
            return Deployment(answered, silent)
        await asyncio.gather(*(visit(name, known[name]) for name in new))


async def _ask_one(address: str, timeout_s: float) -> Document:
    client = admin.AdminClient(f'http://{address}', timeout_s)
    return await client.get('/status')


def summary(found: Deployment) -> Document:
    """Sums up a deployment: what differs between instances stands out."""
    documents = list(found.answered.values())
    newest = max((one['tables_version'] or -1 for one in documents), default=0)
    contents = collections.Counter(
        one['streams']['targets']['content'] for one in documents
    )
    return {
        'instances': len(documents),
        'silent': sorted(found.silent),
        'ready': sum(one['ready'] for one in documents),
        'stopping': sorted(
            one['instance_id'] for one in documents if one['stopping']
        ),
        'running': sum(one['running'] for one in documents),
        'tables_version': newest,
        'older_tables': sorted(
            one['instance_id']
            for one in documents
            if one['tables_version'] != newest
        ),
        'store_does_not_answer': sorted(
            one['instance_id']
            for one in documents
            if not all(row['store_answers'] for row in one['streams'].values())
        ),
        'views_of_targets': len(contents),
        'hears_less_than_all': sorted(
            one['instance_id']
            for one in documents
            if len(one['peers']) < len(documents) - 1
        ),
    }


def target_rows(found: Deployment) -> list[Document]:
    """One row for each target that any instance knows."""
    rows: dict[str, Document] = {}
    for one in found.answered.values():
        for target in one['targets']:
            row = rows.setdefault(
                target['target_id'],
                {
                    'target': target['target_id'],
                    'service': target['service'],
                    'zone': target['zone'],
                    'states': set(),
                    'known_by': 0,
                    'running': 0,
                    'tokens': 0,
                    'avoided_by': 0,
                },
            )
            row['states'].add(target['state'])
            row['known_by'] += 1
            row['running'] = max(row['running'], int(target['running']))
            row['tokens'] = max(row['tokens'], int(target['tokens']))
            row['avoided_by'] += target['avoided']
    for row in rows.values():
        row['states'] = ', '.join(sorted(row['states']))
    return sorted(
        rows.values(), key=lambda row: (row['service'], row['target'])
    )
