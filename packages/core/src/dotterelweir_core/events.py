"""The catalogue of numbered log events.

Events are logged with ``events.log(logger, EVENT, field=value)``. Every event
is listed in docs/events.md, which a test compares with this module.
"""

import logging

import attrs


@attrs.frozen
class Event:
    """One kind of log event.

    Attributes:
        number: Stable number, which is never reused.
        name: Stable name, logged as the message.
        level: Level of the logging module.
        text: Description of the event in one sentence, for docs/events.md.
    """

    number: int
    name: str
    level: int
    text: str


CATALOGUE: dict[int, Event] = {}


def _event(number: int, name: str, level: int, text: str) -> Event:
    event = Event(number, name, level, text)
    if number in CATALOGUE:
        raise ValueError(f'event number {number} is used twice')
    CATALOGUE[number] = event
    return event


def log(logger: logging.Logger, event: Event, **fields: object) -> None:
    """Logs one event with its fields.

    Args:
        logger: The logger of the calling module.
        event: The event from the catalogue.
        **fields: Structured fields; names have their unit as a suffix.
    """
    if logger.isEnabledFor(event.level):
        logger.log(
            event.level,
            event.name,
            extra={'event': event.number, 'fields': fields},
        )


# 1xx: process lifecycle.
INSTANCE_STARTING = _event(
    100, 'instance-starting', logging.INFO, 'The instance is starting.'
)
INSTANCE_READY = _event(
    101, 'instance-ready', logging.INFO, 'The instance accepts requests.'
)
INSTANCE_DRAINING = _event(
    102,
    'instance-draining',
    logging.INFO,
    'The instance prepares to stop; it accepts new requests until the end '
    'of the grace period.',
)
INSTANCE_STOPPED = _event(
    103, 'instance-stopped', logging.INFO, 'The instance has stopped.'
)
GATEWAY_RELOAD_FAILED = _event(
    105,
    'gateway-reload-failed',
    logging.WARNING,
    'The changed settings are not valid; the previous ones stay in use.',
)
LOG_LINES_DROPPED = _event(
    104,
    'log-lines-dropped',
    logging.WARNING,
    'Log lines were dropped: too many in a second, or a slow reader.',
)
# 2xx: requests and routing decisions.
ROUTE_CHOSEN = _event(
    200, 'route-chosen', logging.INFO, 'A route was chosen for a request.'
)
TARGET_CHOSEN = _event(
    201,
    'target-chosen',
    logging.INFO,
    'A target was chosen for a request, with the candidates considered.',
)
REQUEST_REFUSED = _event(
    202, 'request-refused', logging.INFO, 'A request was refused.'
)
REQUEST_ENDED = _event(203, 'request-ended', logging.INFO, 'A request ended.')
ATTEMPT_FAILED = _event(
    204,
    'attempt-failed',
    logging.WARNING,
    'An attempt at a target failed.',
)
GENERATION_RESUMED = _event(
    205,
    'generation-resumed',
    logging.INFO,
    'A running generation was resumed at its engine.',
)
ANSWER_REJECTED = _event(
    206,
    'answer-rejected',
    logging.ERROR,
    'The response of an engine was rejected: wrong request, out of sequence, '
    'malformed, incomplete or an error.',
)
CANCEL_FAILED = _event(
    207,
    'cancel-failed',
    logging.WARNING,
    'A generation that can no longer be resumed could not be cancelled.',
)
STREAM_CUT = _event(
    208,
    'stream-cut',
    logging.WARNING,
    'A stream ended incomplete because of an error or a handover.',
)
PLACEMENTS_HELD = _event(
    209,
    'placements-held',
    logging.WARNING,
    'The process was paused; placements wait until targets are polled again.',
)
ZONE_EVACUATED = _event(
    251,
    'zone-evacuated',
    logging.WARNING,
    'The operator has evacuated an availability zone; its targets are sent '
    'nothing new.',
)
ZONE_RESTORED = _event(
    252,
    'zone-restored',
    logging.WARNING,
    'An evacuated availability zone is in use again.',
)
EVACUATED_ZONE_UNKNOWN = _event(
    253,
    'evacuated-zone-unknown',
    logging.WARNING,
    'No target is registered in an evacuated availability zone; its name may '
    'be wrong.',
)
EVACUATION_REJECTED = _event(
    254,
    'evacuation-rejected',
    logging.ERROR,
    'A zone was not evacuated because too many zones are evacuated already.',
)
UNEXPECTED_ERROR = _event(
    299,
    'unexpected-error',
    logging.ERROR,
    'An unexpected error ended a request; this is a fault to report.',
)
# 22x: the gateway.
GATEWAY_STARTED = _event(
    220, 'gateway-started', logging.INFO, 'A gateway process has started.'
)
GATEWAY_RELOADED = _event(
    221,
    'gateway-reloaded',
    logging.INFO,
    'The settings file was read again.',
)
GATEWAY_TARGET_CHOSEN = _event(
    222,
    'gateway-target-chosen',
    logging.INFO,
    'A target was chosen for a request, with what decided it.',
)
GATEWAY_ATTEMPT_ENDED = _event(
    223,
    'gateway-attempt-ended',
    logging.INFO,
    'An attempt at a target ended.',
)
GATEWAY_REQUEST_ENDED = _event(
    224,
    'gateway-request-ended',
    logging.INFO,
    'A request ended, with the outcome sent to its caller.',
)
GENERATION_CARRIED_OVER = _event(
    225,
    'generation-carried-over',
    logging.INFO,
    'A generation continues at another engine.',
)
RUN_MOVED = _event(
    226,
    'run-moved',
    logging.INFO,
    'An engine was called to copy or stop a run.',
)
EVACUATION_FAILED = _event(
    227,
    'evacuation-failed',
    logging.WARNING,
    'No engine could take over a run from a draining engine.',
)
STREAM_VERSION_CHANGED = _event(
    271,
    'stream-version-changed',
    logging.ERROR,
    'A stream goes on with events of an engine of another software version '
    'than the one that began it.',
)
STREAM_TAKEN_UP = _event(
    272,
    'stream-taken-up',
    logging.INFO,
    'A caller takes up a stream that broke off; `origin` states how this '
    'instance knows the software version that began it.',
)
TARGETS_LOST = _event(
    273,
    'targets-lost',
    logging.WARNING,
    'No connection to any target is made; `taking_peers` is the number of '
    'instances that send requests of others.',
)
TARGETS_REACHED_AGAIN = _event(
    274,
    'targets-reached-again',
    logging.INFO,
    'A connection to a target was made after all had failed.',
)
REQUEST_FORWARDED = _event(
    275,
    'request-forwarded',
    logging.INFO,
    'A request was passed to another instance, as no target is reached here.',
)
SERVICE_BRITTLE = _event(
    276,
    'service-brittle',
    logging.WARNING,
    'The targets of a service state that they are brittle, or no longer do.',
)
REPEAT_BUDGET_EMPTY = _event(
    228,
    'repeat-budget-empty',
    logging.WARNING,
    'A request was not sent again because the retry budget is used up.',
)
WAITED_FOR_ROOM = _event(
    230,
    'waited-for-room',
    logging.INFO,
    'A generation waited for capacity; `found` states whether it was '
    'admitted.',
)
COPY_RELEASED = _event(
    231,
    'copy-released',
    logging.INFO,
    'The release of an unused copy of a run was attempted.',
)
ANSWER_UNMATCHED = _event(
    232,
    'answer-unmatched',
    logging.WARNING,
    'An answer of a target names another request, or none; `not_run` states '
    'whether it says that the request did not run.',
)
REQUEST_SENT_AGAIN = _event(
    233,
    'request-sent-again',
    logging.ERROR,
    'The HTTP library sent a request again within one attempt.',
)
PROMPT_SUSPECTED = _event(
    234,
    'prompt-suspected',
    logging.WARNING,
    'An engine ended before the first event of a request; the shared parts '
    'of its prompt are suspected.',
)
PROMPT_CLEARED = _event(
    235,
    'prompt-cleared',
    logging.INFO,
    'Engines wrote events with suspected parts of a prompt, `age_s` ago at '
    'most; earlier ends are not held against the parts.',
)
PROMPT_BLOCKED = _event(
    236,
    'prompt-blocked',
    logging.WARNING,
    'A request was not sent to an engine, as parts of its prompt explain the '
    'ends of several engines.',
)
TARGET_ENDED = _event(
    238,
    'target-ended',
    logging.WARNING,
    'A target ended with requests in flight; the keys identify a path, caller '
    'and body.',
)
REQUEST_BLOCKED = _event(
    239,
    'request-blocked',
    logging.WARNING,
    'A request was not sent to a target, as several targets have ended under '
    'requests with its path, caller and body.',
)
REQUEST_TRIED = _event(
    241,
    'request-tried',
    logging.WARNING,
    'A blocked request is sent to a target once, as targets may have ended '
    'for another reason.',
)
REQUEST_CLEARED = _event(
    240,
    'request-cleared',
    logging.INFO,
    'A target has answered a request that was in flight at the end of another '
    'target; earlier ends are not held against it.',
)
RUN_NOT_STOPPED = _event(
    242,
    'run-not-stopped',
    logging.WARNING,
    'An engine did not confirm that it stopped a run, which therefore '
    'continues at no other engine; `results` are those of the calls.',
)
PROMPT_TRIED = _event(
    243,
    'prompt-tried',
    logging.WARNING,
    'A request with blocked parts of a prompt is sent to an engine once, as '
    'engines may have ended for another reason.',
)
SEND_WITHHELD = _event(
    244,
    'send-withheld',
    logging.INFO,
    'A request was not sent to the target chosen for it, which has stopped '
    'to accept requests since; `reason` says why.',
)
DESTINATION_LEFT = _event(
    245,
    'destination-left',
    logging.INFO,
    'The engine that a run was copied to began to leave or to pause during '
    'the copy; the run moves to another one.',
)
COPY_NOT_USED = _event(
    246,
    'copy-not-used',
    logging.WARNING,
    'The engine of a generation ended before the first event; the generation '
    'does not continue from its copy.',
)
STOPPED_RUN_LOST = _event(
    247,
    'stopped-run-lost',
    logging.WARNING,
    'A stream ended without its end after its engine was called to stop the '
    'run; `calls` are the calls about the run, in order, with the time since '
    'each of them, and `reason` is the step that failed.',
)
RUN_KEPT = _event(
    248,
    'run-kept',
    logging.INFO,
    'A run is not stopped for a move, as the way on is not certain; `reason` '
    'is what stands against it, and the run goes on at its engine.',
)
RUN_STOPPING = _event(
    249,
    'run-stopping',
    logging.INFO,
    'An engine is called to stop a run, whose copy is complete; `copy_s` is '
    'the time that it took, `left_s` the time to the deadline.',
)
COPY_IN_PROGRESS = _event(
    250,
    'copy-in-progress',
    logging.WARNING,
    'An engine has answered several calls about a run in a row that it works '
    'on an earlier one; logged once for a run at an engine, `since_s` after '
    'the first call.',
)
TARGET_COLD = _event(
    255,
    'target-cold',
    logging.INFO,
    'A target has started, or says that it is cold; for `left_s` it gets at '
    'most `rate_per_s` requests per second from all instances together.',
)
TURN_LATE = _event(
    256,
    'turn-late',
    logging.INFO,
    'A turn at a paced target is not used, as this instance was busy or '
    'frozen for `late_s` when it was due; it obtains another one.',
)
PACE_CHANGED = _event(
    257,
    'pace-changed',
    logging.INFO,
    'A pace of a target is learned from its answers, or is no longer as the '
    'target bears what it is sent; `rate_per_s` is the pace.',
)
PACE_LOWERED = _event(
    258,
    'pace-lowered',
    logging.INFO,
    'The answers of a paced target are late or missing, so that its pace has '
    'fallen; logged once per target in 5 s.',
)
TARGET_SPEED_DIFFERS = _event(
    259,
    'target-speed-differs',
    logging.INFO,
    'The learned speed of a target differs from the median of its service, '
    'or no longer does (`speed` 1); at most once a minute for each target.',
)
SPEEDS_UNEVEN = _event(
    260,
    'service-speeds-uneven',
    logging.INFO,
    'Targets of a service differ in speed, or no longer do; `pause_factor` '
    'is the pause to expect beside a prefill, as a multiple of the time for '
    'an event; at most once a minute for each service.',
)
PAUSE_EXPECTED = _event(
    261,
    'pause-expected',
    logging.INFO,
    'A stream was sent to an engine where a pause above the limit of its '
    'route is to be expected; `choices` is the number of such choices since '
    'the last event; at most once a minute for each service.',
)
CALLER_REFUSED_FOR_MEMORY = _event(
    266,
    'caller-refused-for-memory',
    logging.WARNING,
    'Requests were refused before they ran, as there was no memory for them; '
    'logged once per reason in 10 s, with their `count`.',
)
CALLER_DISPLACED = _event(
    267,
    'caller-displaced',
    logging.WARNING,
    'Callers that neither sent nor read for a second gave way to others; '
    'logged once per reason in 10 s, with their `count`.',
)
CALLER_CLOSED = _event(
    268,
    'caller-closed',
    logging.WARNING,
    'Connections of callers were closed, as there were too many or a head had '
    'no end; logged once per reason in 10 s, with their `count`.',
)
CALLER_READS_TOO_SLOWLY = _event(
    269,
    'caller-reads-too-slowly',
    logging.WARNING,
    'Connections were aborted within an answer that their callers did not '
    'read; logged once per reason in 10 s, with their `count`.',
)
MEMORY_UNREADY = _event(
    270,
    'memory-unready',
    logging.WARNING,
    'The instance reports itself not ready for a short time, as callers hold '
    'most of its memory; logged once in 10 s, with the `count`.',
)
REFUSED_FOR_CAPACITY = _event(
    262,
    'refused-for-capacity',
    logging.INFO,
    'Generations were refused as no engine has capacity for them in time; '
    'logged once a second for each service, `unlogged` counts the others.',
)
CALLER_RETURNED = _event(
    263,
    'caller-returned',
    logging.INFO,
    'A caller came back with a refused generation, which keeps its age; '
    'logged once a second for each service.',
)
REPEAT_WAITS = _event(
    264,
    'repeat-waits',
    logging.INFO,
    'A generation arrived while an equal one of the same caller waits, and '
    'goes after it; logged once a second for each service.',
)
SERVICE_ORDER_CHANGED = _event(
    265,
    'service-order-changed',
    logging.INFO,
    'A configuration changed for which services generations are ordered by '
    'priority and organisation.',
)
GATEWAY_CLOSING = _event(
    237,
    'gateway-closing',
    logging.INFO,
    'A gateway process closes its connections before it exits, with the '
    'number of requests that it cuts off.',
)
GATEWAY_PEER_CHANGED = _event(
    229,
    'gateway-peer-changed',
    logging.INFO,
    'Another gateway was discovered, left or timed out.',
)
GATEWAY_FLEET_KNOWN = _event(
    277,
    'gateway-fleet-known',
    logging.INFO,
    'What a gateway knows of the number of gateways changed: whether it heard '
    'any or read the roster, and how many it hears, lost or never heard.',
)
GATEWAY_SEEDS_CHANGED = _event(
    278,
    'gateway-seeds-changed',
    logging.INFO,
    'The settings name other gateways to contact.',
)
ROSTER_ANSWERS_CHANGED = _event(
    279,
    'roster-answers-changed',
    logging.WARNING,
    'The roster of gateways in the store can no longer be read or written, or '
    'can be again.',
)
ROSTER_ENTRY_REMOVED = _event(
    280,
    'roster-entry-removed',
    logging.INFO,
    'The entry of a gateway that was not heard was removed from the roster.',
)
REQUEST_UNANSWERED = _event(
    281,
    'request-unanswered',
    logging.INFO,
    'A request ended without an answer at a target that may have ended.',
)
TARGET_END_DETECTED = _event(
    282,
    'target-end-detected',
    logging.WARNING,
    'A target with requests in flight ended, and the sign that shows it.',
)
# 3xx: configuration.
EDIT_ACCEPTED = _event(
    300, 'edit-accepted', logging.INFO, 'An edit of the tables took effect.'
)
EDIT_REJECTED = _event(
    301, 'edit-rejected', logging.INFO, 'An edit of the tables was rejected.'
)
RECORD_SKIPPED = _event(
    302,
    'record-skipped',
    logging.WARNING,
    'A log record could not be read and was skipped.',
)
CHECKPOINT_WRITTEN = _event(
    303, 'checkpoint-written', logging.INFO, 'A checkpoint was appended.'
)
CHECKPOINT_MISMATCH = _event(
    304,
    'checkpoint-mismatch',
    logging.ERROR,
    'A checkpoint does not match the state of this instance.',
)
LOG_UNREACHABLE = _event(
    305,
    'log-unreachable',
    logging.WARNING,
    'The log cannot be read; the newest known tables stay in force.',
)
LOG_REACHABLE = _event(
    306, 'log-reachable', logging.INFO, 'The log can be read again.'
)
LOG_GAP = _event(
    307,
    'log-gap',
    logging.ERROR,
    'The log has a gap after the last record that was read.',
)
TABLES_RESTORED = _event(
    308,
    'tables-restored',
    logging.INFO,
    'The tables were restored from a checkpoint or from a peer.',
)
LOG_BEHIND = _event(
    309,
    'log-behind',
    logging.ERROR,
    'The log ends before the last record that this instance read.',
)
CHECKPOINT_FAILED = _event(
    310,
    'checkpoint-failed',
    logging.WARNING,
    'A checkpoint could not be appended.',
)
SNAPSHOT_REJECTED = _event(
    311,
    'snapshot-rejected',
    logging.WARNING,
    'The snapshot of a peer could not be used.',
)
TABLES_UNAVAILABLE = _event(
    312,
    'tables-unavailable',
    logging.ERROR,
    'Neither the log nor a peer provides a state to start from.',
)
TABLES_CALLBACK_FAILED = _event(
    313,
    'tables-callback-failed',
    logging.ERROR,
    'A subscriber to changes of the tables failed.',
)
INSTANCE_ROW_SKIPPED = _event(
    314,
    'instance-row-skipped',
    logging.WARNING,
    'A row of the instance list could not be read and was left out.',
)
# 32x: the platform's store, as the gateway reads it.
STORE_REACHABLE = _event(
    320, 'store-reachable', logging.INFO, 'The store responds again.'
)
STORE_UNREACHABLE = _event(
    321,
    'store-unreachable',
    logging.WARNING,
    'The store does not respond; the last known state stays in force.',
)
STORE_RECORDS_EXPIRED = _event(
    322,
    'store-records-expired',
    logging.WARNING,
    'Unread records have expired; the newest ones are read instead.',
)
STORE_RECORD_INVALID = _event(
    323,
    'store-record-invalid',
    logging.WARNING,
    'A record of the store cannot be decoded and is ignored.',
)
TABLES_IN_FORCE = _event(
    324,
    'tables-in-force',
    logging.INFO,
    'A newer version of the tables is in force.',
)
TARGET_CHANGED = _event(
    325,
    'target-changed',
    logging.INFO,
    'A target registered, changed or was removed.',
)
PEER_STATE_TAKEN = _event(
    326,
    'peer-state-taken',
    logging.INFO,
    'The state of a stream was read from a peer, as the store is unavailable '
    'or has an older version.',
)
PEER_STATE_FAILED = _event(
    327,
    'peer-state-failed',
    logging.WARNING,
    'A peer did not provide its state of a stream.',
)
STORE_REWOUND = _event(
    329,
    'store-rewound',
    logging.WARNING,
    'The store was restored from an older copy; its records are read again.',
)
TARGET_ANNOUNCED_LEAVING = _event(
    330,
    'target-announced-leaving',
    logging.INFO,
    'A target announced in a response that it leaves; it gets no new work.',
)
TARGET_PAUSED = _event(
    331,
    'target-paused',
    logging.INFO,
    'A target refused a request and requested a pause without new work.',
)
WAITED_FOR_PAUSE = _event(
    332,
    'waited-for-pause',
    logging.INFO,
    'A request waits because every target that could serve it is paused and '
    'the pause of one of them ends in time.',
)
TARGET_LIMIT_CHANGED = _event(
    340,
    'target-limit-changed',
    logging.WARNING,
    'A target named a limit on its request rate, changed it or ended it; the '
    'rate is empty without a limit.',
)
TURN_DECIDED = _event(
    341,
    'turn-decided',
    logging.INFO,
    'The coordinator of a limited target gave a request its turn or refused '
    'it, or did not answer.',
)
FOLLOWER_FAILED = _event(
    328,
    'follower-failed',
    logging.ERROR,
    'Following a stream failed because of a fault of the program; it '
    'continues after a delay.',
)
# 35x: service calls, claims, leases and orders.
SERVICE_ATTEMPT_FAILED = _event(
    350,
    'service-attempt-failed',
    logging.WARNING,
    'An attempt to call a plain service failed.',
)
CLAIM_DECIDED = _event(
    351,
    'claim-decided',
    logging.INFO,
    'The log decided on the claim of an idempotency key.',
)
CLAIM_RELEASED = _event(
    352,
    'claim-released',
    logging.INFO,
    'A claim is released because its call was not sent.',
)
STREAM_UNREACHABLE = _event(
    353,
    'stream-unreachable',
    logging.WARNING,
    'A log stream of claims or leases cannot be read.',
)
STREAM_REACHABLE = _event(
    354,
    'stream-reachable',
    logging.INFO,
    'A log stream of claims or leases can be read again.',
)
APPEND_FAILED = _event(
    355,
    'append-failed',
    logging.WARNING,
    'An append to the log failed or its response was lost; it is retried.',
)
RECORDS_NOT_APPENDED = _event(
    356,
    'records-not-appended',
    logging.ERROR,
    'The instance stopped before its last records were appended.',
)
LEASE_ACQUIRED = _event(
    360, 'lease-acquired', logging.INFO, 'This instance acquired a lease.'
)
LEASE_LOST = _event(
    361,
    'lease-lost',
    logging.WARNING,
    'A lease was not renewed in time and counts as lost.',
)
ORDER_GIVEN = _event(
    362, 'order-given', logging.INFO, 'An engine accepted an order.'
)
ORDER_FAILED = _event(
    363,
    'order-failed',
    logging.WARNING,
    'An order was refused, failed or may not have arrived.',
)
# 4xx: targets.
TARGET_STATE_CHANGED = _event(
    400,
    'target-state-changed',
    logging.INFO,
    'A target became live, leaving or gone.',
)
TARGET_HEALTH_CHANGED = _event(
    401,
    'target-health-changed',
    logging.INFO,
    'The health of a target as seen by this instance changed.',
)
INSTANCE_LIST_UNREACHABLE = _event(
    402,
    'instance-list-unreachable',
    logging.WARNING,
    'The instance list cannot be read; the last one stays in use.',
)
INSTANCE_LIST_REACHABLE = _event(
    403,
    'instance-list-reachable',
    logging.INFO,
    'The instance list can be read again.',
)
LOAD_REPORT_FAILED = _event(
    404,
    'load-report-failed',
    logging.DEBUG,
    'The load report of a target could not be read.',
)
# 6xx: peers.
MEMBER_STATE_CHANGED = _event(
    600,
    'member-state-changed',
    logging.INFO,
    'Another instance became alive, suspected, dead or left.',
)
DATAGRAM_DROPPED = _event(
    601,
    'datagram-dropped',
    logging.WARNING,
    'Datagrams were dropped; logged once per reason in 10 s.',
)
DATAGRAM_SEND_FAILED = _event(
    602,
    'datagram-send-failed',
    logging.DEBUG,
    'The system reported that a datagram could not be sent.',
)
DATAGRAM_OVERSIZED = _event(
    605,
    'datagram-oversized',
    logging.WARNING,
    'A datagram exceeds the usual MTU and may be fragmented.',
)
PEER_REQUEST_REJECTED = _event(
    603,
    'peer-request-rejected',
    logging.WARNING,
    'A request of a peer had no valid digest or was repeated.',
)
PEER_SNAPSHOT_FAILED = _event(
    604,
    'peer-snapshot-failed',
    logging.WARNING,
    'A snapshot of the tables could not be fetched from a peer.',
)
