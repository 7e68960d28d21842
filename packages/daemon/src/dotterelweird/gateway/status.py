"""Rows of the status document that an instance serves to operators."""

import math
from typing import Any

from dotterelweir_core.gateway import load as gateway_load
from dotterelweir_core.gateway import pace as gateway_pace
from dotterelweir_core.gateway import service_queues
from dotterelweir_core.gateway import targets
from dotterelweird.gateway import following

# Path of the status document, on the port for other instances.
PATH = '/status'


def target_rows(
    directory: targets.TargetDirectory,
    loads: gateway_load.LoadRegistry,
    paces: gateway_pace.PaceRegistry,
    now_s: float,
) -> list[dict[str, Any]]:
    """Returns one row for each registered target.

    Args:
        directory: Directory of the registered targets.
        loads: Load of each target.
        paces: Paces of targets that have started or recovered.
        now_s: Monotonic time, in seconds.
    """
    rows = []
    for target in directory.targets.values():
        load = loads.get(target.target_id)
        pace_per_s = paces.rate_per_s(
            target.target_id, target.started_ms, now_s
        )
        speeds = loads.speeds.last(target.service)
        speed = speeds.get(target.target_id)
        rows.append(
            {
                'target_id': target.target_id,
                'service': target.service,
                'zone': target.zone,
                'software_version': target.software_version,
                'state': target.state.value,
                'running': load.running + load.peer_running,
                'tokens': load.tokens + load.backup_tokens + load.peer_tokens,
                'failed_share': round(load.outcomes.failed_share(now_s), 3),
                'avoided': load.is_avoided(now_s),
                'pace_per_s': None
                if math.isinf(pace_per_s)
                else round(pace_per_s, 2),
                'speed': round(speed.running, 3) if speed.known else None,
                'event_s': round(speed.event_s, 5) if speed.known else None,
                'pause_s': round(speeds.pause_s(target.target_id), 4),
            }
        )
    return rows


def queue_rows(
    queues: service_queues.ServiceQueues, now_s: float
) -> list[dict[str, Any]]:
    """Returns one row for each queue of generations that is not empty.

    Args:
        queues: Queues of the instance.
        now_s: Monotonic time, in seconds.
    """
    rows = []
    for (service, prefill_bound), queue in queues.items():
        head = queue.find_head(now_s)
        if head is not None:
            rows.append(
                {
                    'service': service,
                    'kind': 'short' if prefill_bound else 'long',
                    'waiting': len(queue),
                    'priority': head.urgency.priority,
                    'due_in_s': round(head.due_s - now_s, 3),
                    'expected_wait_s': round(queue.expected_wait_s(now_s), 3),
                }
            )
    return rows


def stream_row(follower: following.StreamFollower) -> dict[str, Any]:
    """Returns the state of one stream of the store.

    Args:
        follower: Follower of the stream.
    """
    report = follower.report
    return {
        'store_answers': follower.store_available,
        'position': report.position if report else None,
        'content': report.fingerprint if report else None,
        'age_s': round(report.age_s, 3) if report else None,
    }
