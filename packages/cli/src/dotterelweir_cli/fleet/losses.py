"""Attributes each lost or late request to one cause.

A request is lost if it got no complete response. It is late if its first
event, or the response to a call, came after the objective or if its events
paused for too long. The cause is derived from the log lines of the request
and from the peer changes that its gateway logged.
"""

import collections
from collections.abc import Iterable
import enum
import pathlib
from typing import TypeVar

import attrs

from dotterelweir_cli.fleet import logs

T = TypeVar('T')

# Width of the windows in which losses are counted, in seconds.
WINDOW_S = 2.0
# Maximum time between the end of a request and the removal of a silent peer
# for the loss to be attributed to a network partition, in seconds. In a small
# deployment a peer counts as silent after two seconds.
_PARTITION_WINDOW_S = 6.0
# A wait for capacity explains a late start if it is longer than this share of
# the objective.
_CAPACITY_WAIT_SHARE = 0.3
# Outcomes that the caller causes with an invalid request; they are no losses.
_EXCLUDED_OUTCOMES = frozenset(
    {
        'key-unknown',
        'route-not-found',
        'malformed-request',
        'body-too-large',
        'headers-too-large',
        'request-incomplete',
    }
)


class Cause(enum.StrEnum):
    """Causes of lost and late requests, with the text that is printed."""

    NO_COPY = 'engine gone, no copy: memory full'
    COPY_UNAVAILABLE = 'engine gone, copy refused or gone'
    MOVE_REFUSED = 'engine left, every other one full'
    MOVE_UNFINISHED = 'engine left before the copy was made'
    RETRY_BUDGET_EMPTY = 'repeat budget empty'
    ZONE_PARTITIONED = 'zone cut off'
    TARGET_FAILED = 'targets failed all attempts'
    TARGET_REFUSED = 'targets refused'
    TARGET_UNREACHABLE = 'no target reached'
    NO_TARGET = 'no target known'
    TIMED_OUT = 'no answer in time'
    NO_CAPACITY = 'refused: no engine had room in time'
    INSTANCE_STOPPING = 'instance stopping or not ready'
    CUT_OFF = 'instance ended before the answer was complete'
    CALLER_LEFT_WAITING = 'caller left before the first event'
    CALLER_LEFT = 'caller left or its connection broke'
    LATE_CAPACITY_WAIT = 'late: waited for room'
    LATE_RETRY = 'late: sent more than once'
    LATE_PREFILL = 'late: slow start at the engine'
    LATE_HANDOVER = 'late: pause at a handover'
    LATE_PAUSE = 'late: pause of the engine'
    LATE_TARGET = 'late: slow target'
    STREAM_ORIGIN_UNKNOWN = 'version that began the stream not known'
    PROMPT_BLOCKED = 'engines have crashed on a part of the prompt'
    INSTANCE_ENDED = 'instance ended with the request'
    UNKNOWN = 'not attributed'


_CAUSE_BY_OUTCOME = {
    'pool-empty': Cause.NO_TARGET,
    'target-unreachable': Cause.TARGET_UNREACHABLE,
    'target-refused': Cause.TARGET_REFUSED,
    'target-failed': Cause.TARGET_FAILED,
    'request-timeout': Cause.TIMED_OUT,
    'queue-timeout': Cause.NO_CAPACITY,
    'prompt-blocked': Cause.PROMPT_BLOCKED,
    'stream-origin-unknown': Cause.STREAM_ORIGIN_UNKNOWN,
    'shutting-down': Cause.INSTANCE_STOPPING,
    'not-ready': Cause.INSTANCE_STOPPING,
}


@attrs.frozen
class Loss:
    """One request that was lost or late.

    Attributes:
        request_id: Identifier of the request.
        start_s: Time of the first log line of the request, in seconds after
            the first log line of the run.
        route: Route of the request; empty if it had none.
        zone: Availability zone of the gateway that served the request.
        cause: Cause of the loss.
        tokens: Size of the request, in tokens; 1 for calls.
    """

    request_id: str
    start_s: float
    route: str
    zone: str
    cause: Cause
    tokens: int


@attrs.define
class LossReport:
    """All losses of a run.

    Attributes:
        eligible_requests: Number of requests that should have got a complete
            response, which excludes invalid requests.
        losses: Requests among them that were lost or late.
    """

    eligible_requests: int = 0
    losses: list[Loss] = attrs.field(factory=list)

    @property
    def unattributed_share(self) -> float:
        """Share of the losses whose cause is unknown."""
        if not self.losses:
            return 0.0
        unknown = sum(loss.cause is Cause.UNKNOWN for loss in self.losses)
        return unknown / len(self.losses)


def collect(lines: list[logs.Line]) -> LossReport:
    """Collects the losses of a run.

    Args:
        lines: Log lines of all gateways, sorted by time.
    """
    loss_report = LossReport()
    if not lines:
        return loss_report
    decisions: dict[str, list[logs.Line]] = {}
    peer_changes: dict[str, list[logs.Line]] = collections.defaultdict(list)
    for line in lines:
        request_id = line.fields.get('request_id')
        if request_id:
            decisions.setdefault(request_id, []).append(line)
        elif line.message == 'gateway-peer-changed':
            peer_changes[line.instance_id].append(line)
    for request_id, request_lines in decisions.items():
        _add_request(
            loss_report, request_id, request_lines, peer_changes, lines
        )
    return loss_report


def _add_request(
    loss_report: LossReport,
    request_id: str,
    request_lines: list[logs.Line],
    peer_changes: dict[str, list[logs.Line]],
    lines: list[logs.Line],
) -> None:
    """Adds one request to a report.

    Args:
        loss_report: The report.
        request_id: Identifier of the request.
        request_lines: Log lines of the request.
        peer_changes: Log lines on peer changes, by instance_id.
        lines: Log lines of the run.
    """
    last_line = request_lines[-1]
    ended = last_line.message == 'gateway-request-ended'
    if ended and last_line.fields['outcome'] in _EXCLUDED_OUTCOMES:
        return
    loss_report.eligible_requests += 1
    cause = (
        _find_cause(request_lines, peer_changes[last_line.instance_id])
        if ended
        else None
    )
    if not ended:
        cause = Cause.INSTANCE_ENDED
    if cause is None:
        return
    loss_report.losses.append(
        Loss(
            request_id,
            (
                request_lines[0].written_at - lines[0].written_at
            ).total_seconds(),
            _first_value(request_lines, 'route', ''),
            last_line.zone,
            cause,
            _first_value(request_lines, 'tokens', 1),
        )
    )


def _find_cause(
    request_lines: list[logs.Line], peer_changes: Iterable[logs.Line]
) -> Cause | None:
    """Finds the cause of the loss of a request that ended.

    Args:
        request_lines: Log lines of the request.
        peer_changes: Log lines on peer changes of the gateway.

    Returns:
        The cause, or None if the request was neither lost nor late.
    """
    end_line = request_lines[-1]
    fields = end_line.fields
    outcome = fields['outcome']
    if outcome == '200':
        return _find_late_cause(request_lines)
    if outcome == 'cancelled':
        waiting = 'objective_s' in fields and 'first_s' not in fields
        return Cause.CALLER_LEFT_WAITING if waiting else Cause.CALLER_LEFT
    if outcome == 'cut-off':
        return Cause.CUT_OFF
    if _has_event(request_lines, 'repeat-budget-empty'):
        return Cause.RETRY_BUDGET_EMPTY
    if _was_zone_partitioned(end_line, peer_changes):
        return Cause.ZONE_PARTITIONED
    if outcome == 'stream-lost':
        return _find_lost_cause(request_lines)
    if outcome.isdigit():
        return Cause.TARGET_FAILED
    return _CAUSE_BY_OUTCOME.get(outcome, Cause.UNKNOWN)


def _find_late_cause(request_lines: list[logs.Line]) -> Cause | None:
    """Returns the cause of a late response; None if it was in time."""
    fields = request_lines[-1].fields
    objective_s = fields.get('objective_s')
    if objective_s is None:
        return None
    send_count = sum(
        line.message == 'gateway-target-chosen' for line in request_lines
    )
    if 'first_s' not in fields:
        if fields['taken_s'] <= objective_s:
            return None
        return Cause.LATE_RETRY if send_count > 1 else Cause.LATE_TARGET
    if fields['first_s'] > objective_s:
        waited_s = max(
            (line.fields.get('waited_s', 0.0) for line in request_lines),
            default=0.0,
        )
        if waited_s > _CAPACITY_WAIT_SHARE * objective_s:
            return Cause.LATE_CAPACITY_WAIT
        return Cause.LATE_RETRY if send_count > 1 else Cause.LATE_PREFILL
    if fields['longest_pause_s'] > fields['event_gap_s']:
        moved = _has_event(request_lines, 'generation-carried-over')
        return Cause.LATE_HANDOVER if moved else Cause.LATE_PAUSE
    return None


def _find_lost_cause(request_lines: list[logs.Line]) -> Cause:
    """Returns the cause of the loss of a partly delivered generation."""
    attempt_ends = [
        line
        for line in request_lines
        if line.message == 'gateway-attempt-ended'
    ]
    match attempt_ends[-1].fields['end'] if attempt_ends else '':
        case 'caller lost':
            return Cause.CALLER_LEFT
        case 'not run' | 'never sent':
            return Cause.COPY_UNAVAILABLE
    source = attempt_ends[-1].fields['target_id'] if attempt_ends else None
    moves = [
        line
        for line in request_lines
        if line.message == 'run-moved' and line.fields['source'] == source
    ]
    if any(line.fields['result'] == 'failed' for line in moves):
        return Cause.MOVE_REFUSED
    if moves or any(
        line.message == 'evacuation-failed' and line.fields['source'] == source
        for line in request_lines
    ):
        return Cause.MOVE_UNFINISHED
    return Cause.NO_COPY if attempt_ends else Cause.UNKNOWN


def _first_value(request_lines: list[logs.Line], name: str, default: T) -> T:
    """Returns a field of the first line that has it."""
    return next(
        (line.fields[name] for line in request_lines if name in line.fields),
        default,
    )


def _has_event(request_lines: list[logs.Line], message: str) -> bool:
    """Returns whether an event was logged for a request."""
    return any(line.message == message for line in request_lines)


def _was_zone_partitioned(
    end_line: logs.Line, peer_changes: Iterable[logs.Line]
) -> bool:
    """Returns whether the zone of a gateway was probably partitioned.

    Args:
        end_line: Last log line of the request.
        peer_changes: Log lines on peer changes of the same gateway.
    """
    return any(
        line.fields.get('state') == 'silent'
        and abs((end_line.written_at - line.written_at).total_seconds())
        <= _PARTITION_WINDOW_S
        for line in peer_changes
    )


def cause_rows(loss_report: LossReport) -> list[list[object]]:
    """Returns cause, requests and tokens of each cause, by most tokens."""
    requests: collections.Counter[Cause] = collections.Counter()
    tokens: collections.Counter[Cause] = collections.Counter()
    for loss in loss_report.losses:
        requests[loss.cause] += 1
        tokens[loss.cause] += loss.tokens
    return [
        [cause.value, requests[cause], tokens[cause]]
        for cause, _ in tokens.most_common()
    ]


def counts_by_group(loss_report: LossReport) -> dict[str, dict[str, int]]:
    """Counts the lost and late requests by route, zone and window."""
    counters: dict[str, collections.Counter[str]] = {
        'routes': collections.Counter(),
        'zones': collections.Counter(),
        'windows': collections.Counter(),
    }
    for loss in loss_report.losses:
        counters['routes'][loss.route] += 1
        counters['zones'][loss.zone] += 1
        window = WINDOW_S * int(loss.start_s / WINDOW_S)
        counters['windows'][f'{window:g}'] += 1
    return {name: dict(counts) for name, counts in counters.items()}


def draw(loss_report: LossReport, path: pathlib.Path) -> None:
    """Draws the tokens of lost and late requests per window, by cause.

    Args:
        loss_report: The losses.
        path: File to write; its suffix selects the format.

    Raises:
        OSError: The file cannot be written.
        ValueError: The format of the suffix is not supported.
    """
    # Importing matplotlib takes a second; only plots need it.
    from matplotlib import pyplot  # noqa: PLC0415

    from dotterelweir_cli.fleet import plots  # noqa: PLC0415

    by_cause: dict[Cause, collections.Counter[int]] = {}
    for loss in loss_report.losses:
        counts = by_cause.setdefault(loss.cause, collections.Counter())
        counts[int(loss.start_s / WINDOW_S)] += loss.tokens
    loss_figure, axis = pyplot.subplots(figsize=(10, 5))
    plots.stack(axis, by_cause, WINDOW_S)
    axis.set_xlabel('seconds after the first line')
    axis.set_ylabel(f'tokens lost or late in {WINDOW_S:g} s')
    plots.save(loss_figure, path)
