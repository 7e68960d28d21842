"""Queries the status of all gateways of a deployment."""

import asyncio
import collections
import statistics
from typing import Any

import attrs

from dotterelweir_cli import admin
from dotterelweir_cli import exits

# Limit of concurrent queries, below the usual limit of file descriptors.
_CONCURRENT_QUERIES = 50

Document = dict[str, Any]


@attrs.frozen
class DeploymentStatus:
    """Status of the gateways of a deployment.

    Attributes:
        statuses: Status documents of the gateways that responded, by
            instance_id.
        unreachable: Error texts of the gateways that are peers of other
            gateways and did not respond, by instance_id.
    """

    statuses: dict[str, Document]
    unreachable: dict[str, str]


async def query_instances(
    first_address: str, timeout_s: float
) -> DeploymentStatus:
    """Queries one gateway, and then the peers of all queried gateways.

    Args:
        first_address: ``host:port`` of any gateway. The other gateways
            are queried at the same port.
        timeout_s: Time limit of each query, in seconds.

    Raises:
        CommandError: The first gateway does not respond.
    """
    port = first_address.rpartition(':')[2]
    first_status = await _query_instance(first_address, timeout_s)
    statuses = {first_status['instance_id']: first_status}
    unreachable: dict[str, str] = {}
    semaphore = asyncio.Semaphore(_CONCURRENT_QUERIES)

    async def query_peer(instance_id: str, host: str) -> None:
        async with semaphore:
            try:
                statuses[instance_id] = await _query_instance(
                    f'{host}:{port}', timeout_s
                )
            except exits.CommandError as exc:
                unreachable[instance_id] = str(exc)

    while True:
        hosts = {
            peer['instance_id']: peer['host']
            for status in statuses.values()
            for peer in status['peers']
        }
        new_ids = hosts.keys() - statuses.keys() - unreachable.keys()
        if not new_ids:
            return DeploymentStatus(statuses, unreachable)
        await asyncio.gather(
            *(query_peer(name, hosts[name]) for name in new_ids)
        )


async def _query_instance(address: str, timeout_s: float) -> Document:
    client = admin.AdminClient(f'http://{address}', timeout_s)
    return await client.get('/status')


def summary(deployment_status: DeploymentStatus) -> Document:
    """Summarises a deployment and names the gateways that differ.

    Args:
        deployment_status: Status of the gateways.

    Returns:
        Totals, and lists of the gateways that do not respond, are
        stopping, have an older version of the tables, cannot reach the
        store or have fewer peers than there are other gateways.
        ``views_of_targets`` is the number of different states of the
        targets stream; 1 means that all gateways agree.
        ``evacuated_zones`` are those of most gateways, and
        ``other_evacuated_zones`` those of each gateway that differs.
    """
    instance_statuses = list(deployment_status.statuses.values())
    newest_version = max(
        (status['tables_version'] or -1 for status in instance_statuses),
        default=0,
    )
    content_counts = collections.Counter(
        status['streams']['targets']['content'] for status in instance_statuses
    )
    # Instances of an older version know nothing of evacuations.
    zones = {
        status['instance_id']: tuple(status.get('evacuated_zones', ()))
        for status in instance_statuses
    }
    ((usual_zones, _),) = collections.Counter(zones.values()).most_common(
        1
    ) or [((), 0)]
    return {
        'instances': len(instance_statuses),
        'silent': sorted(deployment_status.unreachable),
        'ready': sum(status['ready'] for status in instance_statuses),
        'stopping': sorted(
            status['instance_id']
            for status in instance_statuses
            if status['stopping']
        ),
        'running': sum(status['running'] for status in instance_statuses),
        'tables_version': newest_version,
        'older_tables': sorted(
            status['instance_id']
            for status in instance_statuses
            if status['tables_version'] != newest_version
        ),
        'store_does_not_answer': sorted(
            status['instance_id']
            for status in instance_statuses
            if not all(
                row['store_answers'] for row in status['streams'].values()
            )
        ),
        'views_of_targets': len(content_counts),
        'evacuated_zones': list(usual_zones),
        'other_evacuated_zones': sorted(
            f'{instance_id}: {", ".join(own_zones) or "none"}'
            for instance_id, own_zones in zones.items()
            if own_zones != usual_zones
        ),
        'hears_less_than_all': sorted(
            status['instance_id']
            for status in instance_statuses
            if len(status['peers']) < len(instance_statuses) - 1
        ),
    }


def target_rows(deployment_status: DeploymentStatus) -> list[Document]:
    """Returns one row for each target that at least one gateway knows.

    Instances may differ in the load of a target; a row has the highest
    values of ``running`` and ``tokens``, and the lowest ``pace_per_s``, which
    only targets have that are paced after their start. ``speed`` is the
    median of the speeds that the instances have learned, relative to the
    service; empty while none has.
    """
    rows: dict[str, Document] = {}
    speeds: dict[str, list[float]] = {}
    for status in deployment_status.statuses.values():
        for target in status['targets']:
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
                    'pace_per_s': None,
                },
            )
            row['states'].add(target['state'])
            row['known_by'] += 1
            row['running'] = max(row['running'], int(target['running']))
            row['tokens'] = max(row['tokens'], int(target['tokens']))
            row['avoided_by'] += target['avoided']
            # Gateways of an older version state neither of these.
            pace_per_s = target.get('pace_per_s')
            if pace_per_s is not None:
                known_per_s = row['pace_per_s']
                row['pace_per_s'] = (
                    pace_per_s
                    if known_per_s is None
                    else min(known_per_s, pace_per_s)
                )
            if target.get('speed') is not None:
                speeds.setdefault(target['target_id'], []).append(
                    target['speed']
                )
    for row in rows.values():
        known = speeds.get(row['target'])
        row['speed'] = round(statistics.median(known), 2) if known else ''
        row['states'] = ', '.join(sorted(row['states']))
    return sorted(
        rows.values(), key=lambda row: (row['service'], row['target'])
    )


def queue_rows(deployment_status: DeploymentStatus) -> list[Document]:
    """Returns one row for each queue of generations, the most urgent first.

    Gateways of an older version report no queues.
    """
    rows = [
        {'instance': status['instance_id'], **queue}
        for status in deployment_status.statuses.values()
        for queue in status.get('queues', ())
    ]
    return sorted(
        rows,
        key=lambda row: (row['service'], row['priority'], row['due_in_s']),
    )
