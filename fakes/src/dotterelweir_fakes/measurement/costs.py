"""Measures the decision time and the memory use of the scheduler."""

import gc
import random
import time
import tracemalloc

import attrs

from dotterelweir_core.policy import api
from dotterelweir_core.policy import scheduler
from dotterelweir_core.policy import settings
from dotterelweir_core.targets import model

# Number of targets that a decision chooses from.
CANDIDATES = 243
# Number of requests in flight at one instance at the size expected in two
# years: 3,200 requests per second of 200 tokens at 50 ms per token, on 370
# instances.
IN_FLIGHT = 88
_POOL = 'llm'


def make_targets(count: int) -> tuple[model.Target, ...]:
    """Returns engines in one availability zone."""
    return tuple(
        model.Target(f'engine-{number}', 1, _POOL, 'a', '127.0.0.1', 1024)
        for number in range(count)
    )


def make_item(number: int, organisations: int) -> api.WorkItem:
    """Returns a request of one of several organisations."""
    return api.WorkItem(
        f'r{number}',
        'guide',
        _POOL,
        f'org-{number % organisations}',
        5,
        600,
        None,
        (number % 7, number % 11),
        0.0,
        1e9,
        True,
    )


def make_scheduler(
    targets: tuple[model.Target, ...], organisations: int = 10
) -> scheduler.PolicyScheduler:
    """Returns a scheduler that has a load report of each target."""
    policy_scheduler = scheduler.PolicyScheduler(
        settings.PolicySettings(), random.Random(1), 'a', 0.0
    )
    policy_scheduler.set_targets(_POOL, targets, 0.0)
    for target in targets:
        policy_scheduler.record_report(
            model.LoadReport(
                target.target_id,
                1,
                running=20,
                memory_used_tokens=20_000,
                memory_total_tokens=64_000,
            ),
            0.0,
        )
    return policy_scheduler


def decision_times_us(candidates: int, decisions: int = 4_000) -> list[float]:
    """Returns the times to submit and place one request, in microseconds.

    The calls that report tokens and ends of attempts are not timed.

    Args:
        candidates: Number of targets.
        decisions: Number of requests.
    """
    policy_scheduler = make_scheduler(make_targets(candidates))
    running: list[tuple[str, str]] = []
    times = []
    now_s = 0.0
    for number in range(decisions):
        now_s += 0.01
        item = attrs.evolve(make_item(number, 10), arrived_s=now_s)
        start = time.perf_counter()
        policy_scheduler.submit(item, now_s)
        decisions_made = policy_scheduler.decide(now_s)
        times.append((time.perf_counter() - start) * 1e6)
        for decision in decisions_made:
            if isinstance(decision, api.Placement):
                running.append((decision.request_id, decision.target_id))
                policy_scheduler.record_first_token(*running[-1], now_s)
        for request_id, target_id in running:
            policy_scheduler.record_tokens(request_id, target_id, 1, now_s)
        while len(running) > IN_FLIGHT:
            policy_scheduler.record_end(
                *running.pop(0), api.AttemptEnd.COMPLETE, now_s
            )
    return times


def memory_bytes(
    targets: int = 1, in_flight: int = 0, organisations: int = 1
) -> int:
    """Returns the memory of a scheduler, in bytes.

    Args:
        targets: Number of targets.
        in_flight: Number of requests in flight.
        organisations: Number of organisations with recorded output lengths.
    """
    engines = make_targets(targets)
    gc.collect()
    tracemalloc.start()
    before_bytes = tracemalloc.get_traced_memory()[0]
    policy_scheduler = make_scheduler(engines)
    now_s = 0.0
    for number in range(in_flight):
        item = make_item(number, organisations)
        # Bypasses admission, which would refuse this many requests.
        pool = policy_scheduler._directory.pool(_POOL)
        target_id = engines[int(item.request_id[1:]) % targets].target_id
        policy_scheduler._start_attempt(pool, item, target_id, now_s)
        policy_scheduler.record_first_token(item.request_id, target_id, now_s)
    if organisations > 1:
        for number in range(organisations):
            for _ in range(40):
                policy_scheduler._estimator.record(
                    'guide', f'org-{number}', 100
                )
    gc.collect()
    after_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return after_bytes - before_bytes
