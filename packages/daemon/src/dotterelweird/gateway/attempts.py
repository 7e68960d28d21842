"""Sends one request to one target and classifies how the attempt ended."""

import asyncio
from collections.abc import Iterator
import contextlib
import logging

import aiohttp
import attrs
import yarl

from dotterelweir_core import events
from dotterelweir_core.gateway import load as gateway_load
from dotterelweir_core.gateway import targets
from dotterelweird.gateway import api
from dotterelweird.gateway import dependencies
from dotterelweird.gateway import exchange as exchanges
from dotterelweird.gateway import target_client
from dotterelweird.gateway.callers import bodies

LOG = logging.getLogger(__name__)

# Statuses with which the gateway states to callers that a request has not run.
# An answer of a target with one of these statuses must not reach the caller
# unless the target itself states that the request did not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Lowest status of an answer that is not an interim one, and highest status
# (RFC 9110, section 15).
_FINAL_STATUS_MIN = 200
_STATUS_MAX = 599
# Status with which a target refuses a malformed request.
_MALFORMED_STATUS = 400


class WithheldError(aiohttp.ClientError):
    """A request was not sent, as its target accepts none now.

    Args:
        reason: Why it accepts none.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@contextlib.contextmanager
def track_load(
    parts: dependencies.Forwarding,
    target: targets.Target,
    tokens: int = 0,
) -> Iterator[None]:
    """Counts a request in the load of its target while it runs.

    Args:
        parts: Dependencies shared by all requests.
        target: The target that gets the request.
        tokens: Tokens that the run is expected to hold at its end; 0 for a
            plain call.
    """
    load = parts.loads.get(target.target_id)
    load.running += 1
    load.tokens += tokens
    # Of plain calls, the others learn in time if it matters to them.
    notifies = tokens > 0 or parts.placer.brittle.is_brittle(target.service)
    if notifies:
        parts.loads.notify()
    try:
        yield
    finally:
        load.running -= 1
        load.tokens -= tokens
        if notifies:
            parts.loads.notify()


@contextlib.contextmanager
def track_backup_load(
    parts: dependencies.Forwarding,
    target: targets.Target | None,
    tokens: int,
) -> Iterator[None]:
    """Counts the copy of a run in the load of the engine that stores it.

    Args:
        parts: Dependencies shared by all requests.
        target: The engine that stores the copy; None if there is no copy.
        tokens: Tokens that the run is expected to hold at its end.
    """
    if target is None:
        yield
        return
    load = parts.loads.get(target.target_id)
    load.backup_tokens += tokens
    parts.loads.notify()
    try:
        yield
    finally:
        load.backup_tokens -= tokens
        parts.loads.notify()


class PendingPrefill:
    """Counts a prompt in its engine's prefill backlog until its first event.

    Args:
        load: Load of the engine.
        tokens: Length of the prompt, in tokens.
    """

    def __init__(self, load: gateway_load.TargetLoad, tokens: int) -> None:
        self._load = load
        self._tokens = tokens

    def __enter__(self) -> None:
        self._load.prefill_tokens += self._tokens

    def __exit__(self, *unused: object) -> None:
        self.end()

    def end(self) -> None:
        """Removes the prompt from the backlog; later calls have no effect."""
        self._load.prefill_tokens -= self._tokens
        self._tokens = 0


async def send(
    parts: dependencies.Forwarding,
    exchange: exchanges.Exchange,
    options: api.AttemptOptions,
    send_state: target_client.SendState,
) -> aiohttp.ClientResponse:
    """Sends a request and waits for the head of the answer.

    Args:
        parts: Dependencies shared by all requests.
        exchange: The request.
        options: The target, and what the request carries besides its own
            headers.
        send_state: Set once the target may have received the request.

    Returns:
        The answer, with its body still unread.

    Raises:
        WithheldError: The target has stopped to accept requests.
        aiohttp.ClientError: The address cannot be used, or the connection
            failed before the head was complete.
    """
    request, target = exchange.request, options.target
    exchange.tried.add(target.target_id)
    # What the choice of the target rested on may have changed since.
    obstacle = parts.gate.find_obstacle(
        target,
        resumes=options.copy is not None,
        stream_version=exchange.stream_version,
    )
    if obstacle is not None:
        reason = obstacle.value
        parts.statistics.withheld_sends.inc({'reason': reason})
        events.log(
            LOG,
            events.SEND_WITHHELD,
            request_id=request.request_id,
            target_id=target.target_id,
            reason=reason,
        )
        raise WithheldError(reason)
    if options.backup is not None and not parts.gate.may_keep(
        target, options.backup
    ):
        options = attrs.evolve(options, backup=None)
    exchange.sending = send_state
    send_state.request_id = request.request_id
    send_state.started_s = parts.timers.elapsed_s()
    send_state.on_connected = parts.reach.record_connected
    url = build_url(target.address, request.raw_path)
    try:
        return await parts.session.request(
            request.method,
            url,
            headers=parts.dialect.attempt_headers(request, options),
            data=bodies.outgoing(request.body),
            allow_redirects=False,
            trace_request_ctx=send_state,
        )
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        if not send_state.sent:
            parts.reach.record_failed(target)
        raise


def build_url(address: str, raw_path: str) -> yarl.URL:
    """Returns the URL of a path at an address.

    Args:
        address: The address, as ``host:port``.
        raw_path: Path and query as sent.

    Raises:
        aiohttp.InvalidURL: The address cannot be used.
    """
    try:
        # Parsing the path would drop an empty query and a fragment.
        url = yarl.URL.build(
            scheme='http',
            authority=address,
            path=raw_path,
            encoded=True,
        )
        # An encoded address is parsed at the first access to a part of it.
        url.raw_user  # noqa: B018
    except ValueError as exc:
        raise aiohttp.InvalidURL(address) from exc
    return url


def decode_answer(
    parts: dependencies.Forwarding,
    exchange: exchanges.Exchange,
    target: targets.Target,
    answer: aiohttp.ClientResponse,
    send_state: target_client.SendState,
) -> api.AnswerFacts:
    """Decodes the head of an answer and applies the target's notice in it.

    Args:
        parts: Dependencies shared by all requests.
        exchange: The request.
        target: The target that answered.
        answer: The answer.
        send_state: State of the attempt.
    """
    facts = parts.dialect.decode_answer(
        exchange.request.request_id, answer.status, answer.raw_headers
    )
    if facts.echoed_id != exchange.request.request_id:
        _record_unmatched(parts, exchange, target, answer.status, facts)
    if facts.notice != api.NO_NOTICE:
        parts.notice_listener(target, facts.notice, send_state.started_s)
    return facts


def _record_unmatched(
    parts: dependencies.Forwarding,
    exchange: exchanges.Exchange,
    target: targets.Target,
    status: int,
    facts: api.AnswerFacts,
) -> None:
    parts.statistics.unmatched_answers.inc({'target': target.target_id})
    events.log(
        LOG,
        events.ANSWER_UNMATCHED,
        request_id=exchange.request.request_id,
        target_id=target.target_id,
        status=status,
        echoed_id=facts.echoed_id,
        not_run=facts.not_run,
    )


async def call(
    parts: dependencies.Forwarding,
    exchange: exchanges.Exchange,
    target: targets.Target,
    attempt_deadline_s: float,
) -> exchanges.Outcome:
    """Sends a plain call and reads the whole answer.

    Args:
        parts: Dependencies shared by all requests.
        exchange: The request.
        target: The target that gets the request.
        attempt_deadline_s: Monotonic time at which the attempt is given up,
            in seconds.

    Returns:
        How the attempt ended; errors of the connection are outcomes, too.
    """
    now_s = parts.timers.monotonic_s()
    options = api.AttemptOptions(
        target, exchange.deadline_s - now_s, exchange.organisation_name
    )
    answer = None
    send_state = target_client.SendState()
    try:
        async with asyncio.timeout(attempt_deadline_s - now_s):
            answer = await send(parts, exchange, options, send_state)
            # The notice must not wait for the body, which may be slow or
            # incomplete.
            facts = decode_answer(parts, exchange, target, answer, send_state)
            body = await parts.memory.read(answer, exchange.holding)
    except (aiohttp.ClientError, TimeoutError) as exc:
        return outcome_of_error(exc, send_state)
    finally:
        if answer is not None:
            answer.close()
    return classify(answer.status, facts, body)


def outcome_of_error(
    error: aiohttp.ClientError | TimeoutError,
    send_state: target_client.SendState,
) -> exchanges.Outcome:
    """Returns the outcome for an error of the connection to a target.

    Args:
        error: The error.
        send_state: Whether the request was sent before the error.
    """
    if isinstance(error, WithheldError):
        return exchanges.Withheld(error.reason)
    if not send_state.sent:
        return exchanges.NeverSent(type(error).__name__)
    if isinstance(error, TimeoutError):
        return exchanges.TimedOut()
    reason = f'{type(error).__name__}: {error}'[:120]
    return exchanges.Broken(reason, connection_lost=True)


def classify(
    status: int, facts: api.AnswerFacts, body: bytes
) -> exchanges.Outcome:
    """Returns the outcome for a whole answer of a target.

    Args:
        status: Status of the answer.
        facts: Decoded head of the answer.
        body: Body of the answer.
    """
    if not facts.matches_request:
        return exchanges.Broken('answer of another request')
    if facts.not_run and status == _MALFORMED_STATUS:
        # Every target would refuse the malformed request.
        return exchanges.Answered(status, facts.headers, body)
    if facts.not_run and status in NOT_RUN_STATUSES:
        return exchanges.NotRun(status)
    if facts.not_run:
        return exchanges.Broken(f'status {status} with a not-run statement')
    if not facts.sealed:
        return exchanges.Broken('answer without a signature')
    if facts.encoded:
        return exchanges.Broken('answer with an encoding')
    if status in NOT_RUN_STATUSES:
        return exchanges.Broken(f'status {status} without a not-run statement')
    if not _FINAL_STATUS_MIN <= status <= _STATUS_MAX:
        return exchanges.Broken(f'status {status} is none of an answer')
    return exchanges.Answered(status, facts.headers, body)


def record_silence(
    parts: dependencies.Forwarding,
    exchange: exchanges.Exchange,
    target: targets.Target,
    outcome: exchanges.StreamOutcome,
    heard_s: float,
    begun: bool,
) -> None:
    """Records whether a target answered, as one that has ended does not.

    Args:
        parts: Dependencies shared by all requests.
        exchange: The request.
        target: The target of the attempt.
        outcome: How the attempt ended.
        heard_s: Time of the send, or at which the target was heard last on
            its connection, in seconds, by a clock that counts suspensions.
        begun: Whether the target had begun to write its answer, so that no
            part of the prompt is suspected of its end; always so for plain
            calls, which have none.
    """
    match outcome:
        case (
            exchanges.TimedOut()
            | exchanges.Interrupted()
            | exchanges.CallerLost()
            | exchanges.Broken(connection_lost=True)
        ):
            parts.end_detector.report_unanswered(
                exchange, target, heard_s, begun
            )
        case exchanges.Complete() | exchanges.Answered() | exchanges.NotRun():
            parts.end_detector.record_answer(target)


def record_abandoned(
    parts: dependencies.Forwarding,
    exchange: exchanges.Exchange,
    target: targets.Target,
    heard_s: float,
    begun: bool = True,
) -> None:
    """Records an attempt that ended because its caller has left.

    Args:
        parts: Dependencies shared by all requests.
        exchange: The request.
        target: The target of the attempt.
        heard_s: Time of the send, or at which the target was heard last on
            its connection, in seconds, by a clock that counts suspensions.
        begun: Whether the target had begun to write its answer, so that no
            part of the prompt is suspected of its end; always so for plain
            calls, which have none.
    """
    if exchange.sending is not None and exchange.sending.sent:
        parts.end_detector.report_unanswered(exchange, target, heard_s, begun)


def record_end(
    parts: dependencies.Forwarding,
    exchange: exchanges.Exchange,
    target: targets.Target,
    outcome: exchanges.StreamOutcome,
    taken_s: float,
    **fields: object,
) -> None:
    """Logs and counts the end of an attempt and clears it in the exchange.

    Args:
        parts: Dependencies shared by all requests.
        exchange: The request.
        target: The target of the attempt.
        outcome: How the attempt ended.
        taken_s: Duration of the attempt, in seconds.
        **fields: Further fields of the log event.
    """
    exchange.sending = None
    match outcome:
        case exchanges.Complete():
            end, detail = 'complete', ''
        case exchanges.Interrupted(reason=detail):
            end = 'interrupted'
        case exchanges.CallerLost(reason=detail):
            end = 'caller lost'
        case exchanges.Answered(status=status):
            end, detail = 'answered', str(status)
        case exchanges.NotRun(status=status):
            end, detail = 'not run', str(status)
        case exchanges.NeverSent(reason=detail):
            end = 'never sent'
        case exchanges.Withheld(reason=detail):
            end = 'withheld'
        case exchanges.Broken(reason=detail):
            end = 'broken'
        case exchanges.TimedOut():
            end, detail = 'timed out', ''
    parts.statistics.attempts.inc({'target': target.target_id, 'end': end})
    events.log(
        LOG,
        events.GATEWAY_ATTEMPT_ENDED,
        request_id=exchange.request.request_id,
        target_id=target.target_id,
        end=end,
        detail=detail,
        **fields,
        taken_s=round(taken_s, 4),
    )
