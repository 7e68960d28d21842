"""Gives every request that was not answered whole and in time one cause.

The causes are read from the decisions that the instance logged on the
request, and from what it knew of the engines, the store and its peers.
"""

import collections
from collections.abc import Iterable
import enum
import pathlib
from typing import TypeVar

import attrs

from dotterelweir_cli.fleet import logs

T = TypeVar('T')

# Width of the windows of the ledger, in seconds.
WINDOW_S = 2.0
# Time before the end of a request in which silent peers mean a cut zone, in
# seconds: instances count as silent after two seconds in a small deployment.
_CUT_S = 6.0
# Share of the objective from which a wait for room explains a late start.
_WAIT_SHARE = 0.3
# Outcomes that are the caller's own doing and no loss.
_NOT_OWED = frozenset(
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
    """Why a request was lost or late."""

    NO_COPY = 'engine gone, no copy: memory full'
    COPY_GONE = 'engine gone, copy refused or gone'
    MOVE_REFUSED = 'engine left, every other one full'
    MOVE_UNFINISHED = 'engine left before the copy was made'
    BUDGET_EMPTY = 'repeat budget empty'
    CUT_ZONE = 'zone cut off'
    TARGET_FAILED = 'targets failed all attempts'
    TARGET_REFUSED = 'targets refused'
    TARGET_UNREACHABLE = 'no target reached'
    NO_TARGET = 'no target known'
    TIMED_OUT = 'no answer in time'
    NO_ROOM = 'refused: no engine had room in time'
    INSTANCE_STOPPING = 'instance stopping or not ready'
    CALLER_LEFT_WAITING = 'caller left before the first event'
    CALLER_LEFT = 'caller left or its connection broke'
    LATE_ROOM = 'late: waited for room'
    LATE_RETRY = 'late: sent more than once'
    LATE_PREFILL = 'late: slow start at the engine'
    LATE_HANDOVER = 'late: pause at a handover'
    LATE_PAUSE = 'late: pause of the engine'
    LATE_TARGET = 'late: slow target'
    INSTANCE_ENDED = 'instance ended with the request'
    UNKNOWN = 'not attributed'


_BY_OUTCOME = {
    'pool-empty': Cause.NO_TARGET,
    'target-unreachable': Cause.TARGET_UNREACHABLE,
    'target-refused': Cause.TARGET_REFUSED,
    'target-failed': Cause.TARGET_FAILED,
    'request-timeout': Cause.TIMED_OUT,
    'queue-timeout': Cause.NO_ROOM,
    'shutting-down': Cause.INSTANCE_STOPPING,
    'not-ready': Cause.INSTANCE_STOPPING,
}


@attrs.frozen
class Loss:
    """One request that was lost or late.

    Attributes:
        request_id: Its name.
        at_s: Time of its first line after the first line of all, in seconds.
        route: Its route; empty if it had none.
        zone: Availability zone of its instance.
        cause: Why.
        tokens: Its size in tokens; 1 for calls.
    """

    request_id: str
    at_s: float
    route: str
    zone: str
    cause: Cause
    tokens: int


@attrs.define
class Ledger:
    """All losses of a run.

    Attributes:
        owed: Requests that were owed an answer.
        losses: Those that were lost or late.
    """

    owed: int = 0
    losses: list[Loss] = attrs.field(factory=list)

    @property
    def unattributed_share(self) -> float:
        """Share of the losses that has no cause."""
        if not self.losses:
            return 0.0
        unknown = sum(one.cause is Cause.UNKNOWN for one in self.losses)
        return unknown / len(self.losses)


def collect(lines: list[logs.Line]) -> Ledger:
    """Makes the ledger of a run from the lines of all its instances."""
    ledger = Ledger()
    if not lines:
        return ledger
    decisions: dict[str, list[logs.Line]] = {}
    silent: dict[str, list[logs.Line]] = collections.defaultdict(list)
    for line in lines:
        request_id = line.fields.get('request_id')
        if request_id:
            decisions.setdefault(request_id, []).append(line)
        elif line.message == 'gateway-peer-changed':
            silent[line.instance_id].append(line)
    for request_id, found in decisions.items():
        _account(ledger, request_id, found, silent, lines)
    return ledger


def _account(
    ledger: Ledger,
    request_id: str,
    found: list[logs.Line],
    silent: dict[str, list[logs.Line]],
    lines: list[logs.Line],
) -> None:
    last = found[-1]
    ended = last.message == 'gateway-request-ended'
    if ended and last.fields['outcome'] in _NOT_OWED:
        return
    ledger.owed += 1
    cause = _cause(found, silent[last.instance_id]) if ended else None
    if not ended:
        cause = Cause.INSTANCE_ENDED
    if cause is None:
        return
    ledger.losses.append(
        Loss(
            request_id,
            (found[0].at - lines[0].at).total_seconds(),
            _field(found, 'route', ''),
            last.zone,
            cause,
            _field(found, 'tokens', 1),
        )
    )


def _cause(
    found: list[logs.Line], silent: Iterable[logs.Line]
) -> Cause | None:
    """Why a request that ended was lost or late; None if it was neither."""
    ended = found[-1]
    fields = ended.fields
    outcome = fields['outcome']
    if outcome == '200':
        return _late_cause(found)
    if outcome == 'cancelled':
        waiting = 'objective_s' in fields and 'first_s' not in fields
        return Cause.CALLER_LEFT_WAITING if waiting else Cause.CALLER_LEFT
    if _has(found, 'repeat-budget-empty'):
        return Cause.BUDGET_EMPTY
    if _zone_was_cut(ended, silent):
        return Cause.CUT_ZONE
    if outcome == 'stream-lost':
        return _lost_cause(found)
    if outcome.isdigit():
        return Cause.TARGET_FAILED
    return _BY_OUTCOME.get(outcome, Cause.UNKNOWN)


def _late_cause(found: list[logs.Line]) -> Cause | None:
    fields = found[-1].fields
    objective_s = fields.get('objective_s')
    if objective_s is None:
        return None
    sends = sum(line.message == 'gateway-target-chosen' for line in found)
    if 'first_s' not in fields:
        if fields['taken_s'] <= objective_s:
            return None
        return Cause.LATE_RETRY if sends > 1 else Cause.LATE_TARGET
    if fields['first_s'] > objective_s:
        waited_s = max(
            (line.fields.get('waited_s', 0.0) for line in found), default=0.0
        )
        if waited_s > _WAIT_SHARE * objective_s:
            return Cause.LATE_ROOM
        return Cause.LATE_RETRY if sends > 1 else Cause.LATE_PREFILL
    if fields['longest_pause_s'] > fields['event_gap_s']:
        moved = _has(found, 'generation-carried-over')
        return Cause.LATE_HANDOVER if moved else Cause.LATE_PAUSE
    return None


def _lost_cause(found: list[logs.Line]) -> Cause:
    """Why a generation ended after part of it had reached its caller."""
    ends = [line for line in found if line.message == 'gateway-attempt-ended']
    match ends[-1].fields['end'] if ends else '':
        case 'caller lost':
            return Cause.CALLER_LEFT
        case 'not run' | 'never sent':
            return Cause.COPY_GONE
    source = ends[-1].fields['target_id'] if ends else None
    moves = [
        line
        for line in found
        if line.message == 'run-moved' and line.fields['source'] == source
    ]
    if any(line.fields['result'] == 'failed' for line in moves):
        return Cause.MOVE_REFUSED
    if moves or any(
        line.message == 'evacuation-failed' and line.fields['source'] == source
        for line in found
    ):
        return Cause.MOVE_UNFINISHED
    return Cause.NO_COPY if ends else Cause.UNKNOWN


def _field(found: list[logs.Line], name: str, default: T) -> T:
    """The value of a field in the first line that has it."""
    return next(
        (line.fields[name] for line in found if name in line.fields), default
    )


def _has(found: list[logs.Line], message: str) -> bool:
    return any(line.message == message for line in found)


def _zone_was_cut(ended: logs.Line, silent: Iterable[logs.Line]) -> bool:
    """Whether the instance heard nothing of others shortly before."""
    return any(
        line.fields.get('state') == 'silent'
        and abs((ended.at - line.at).total_seconds()) <= _CUT_S
        for line in silent
    )


def table(ledger: Ledger) -> list[list[object]]:
    """Requests and tokens by cause, most tokens first."""
    requests: collections.Counter[Cause] = collections.Counter()
    tokens: collections.Counter[Cause] = collections.Counter()
    for loss in ledger.losses:
        requests[loss.cause] += 1
        tokens[loss.cause] += loss.tokens
    return [
        [cause.value, requests[cause], tokens[cause]]
        for cause, _ in tokens.most_common()
    ]


def groups(ledger: Ledger) -> dict[str, dict[str, int]]:
    """Lost requests by route, by zone and by window."""
    found: dict[str, collections.Counter[str]] = {
        'routes': collections.Counter(),
        'zones': collections.Counter(),
        'windows': collections.Counter(),
    }
    for loss in ledger.losses:
        found['routes'][loss.route] += 1
        found['zones'][loss.zone] += 1
        window = WINDOW_S * int(loss.at_s / WINDOW_S)
        found['windows'][f'{window:g}'] += 1
    return {name: dict(counts) for name, counts in found.items()}


def draw(ledger: Ledger, path: pathlib.Path) -> None:
    """Draws the tokens lost in each window, by cause.

    Args:
        ledger: The losses.
        path: File to write, whose suffix chooses the format.

    Raises:
        OSError: The file cannot be written.
        ValueError: The suffix names no format.
    """
    # Drawing takes a second to load, which other uses need not wait for.
    from matplotlib import pyplot  # noqa: PLC0415

    from dotterelweir_cli.fleet import plots  # noqa: PLC0415

    by_cause: dict[Cause, collections.Counter[int]] = {}
    for loss in ledger.losses:
        counts = by_cause.setdefault(loss.cause, collections.Counter())
        counts[int(loss.at_s / WINDOW_S)] += loss.tokens
    drawn, axis = pyplot.subplots(figsize=(10, 5))
    plots.stack(axis, by_cause, WINDOW_S)
    axis.set_xlabel('seconds after the first line')
    axis.set_ylabel(f'tokens lost or late in {WINDOW_S:g} s')
    plots.save(drawn, path)
