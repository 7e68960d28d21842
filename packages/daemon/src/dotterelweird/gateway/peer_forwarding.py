"""Lets another instance send a request whose targets this one cannot reach.

The other instance gets the request as the caller sent it, on a port of its
own, and treats it as any other: routing, key, limits, budget, deadline and
blocks are its decisions, asked once. Its answer is passed on as it arrives. A
request that came from another instance is not passed on again.
"""

import asyncio
import collections
from collections.abc import Callable
import logging
import random

import aiohttp
import attrs

from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core import timers
from dotterelweir_core.gateway import reachability
from dotterelweird.gateway import answer_bodies
from dotterelweird.gateway import api
from dotterelweird.gateway import attempts
from dotterelweird.gateway import exchange as exchanges
from dotterelweird.gateway import peer_view
from dotterelweird.gateway import reaching
from dotterelweird.gateway import statistics
from dotterelweird.gateway import target_client
from dotterelweird.gateway.callers import bodies
from dotterelweird.targets import headers as target_headers

LOG = logging.getLogger(__name__)

# Maximum number of instances that are tried for one request, as some may just
# have ended.
_PEERS_MAX = 3
# Headers of an answer that the HTTP library sets for each message.
_REMOVED_FROM_ANSWERS = frozenset({'content-length'})


@attrs.frozen(eq=False)
class PeerAnswer:
    """The answer of another instance, with its body still unread.

    Attributes:
        answer: The answer.
        headers: Headers that are passed on to the caller.
        peer_id: Id of the instance.
    """

    answer: aiohttp.ClientResponse
    headers: api.Headers
    peer_id: str

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream that has begun."""
        return self.answer.status == 200 and self.answer.content_length is None


class PeerForwarder:
    """Passes requests to other instances while this one reaches no target.

    Args:
        zone: Availability zone of this instance.
        port: Port at which instances take requests of each other; None if
            they do not.
        timer_service: The timer service.
        rng: Random source.
        session: HTTP client for other instances.
        dialect: Names and formats of the platform's requests.
        memory: Limits the memory of answers that are read as a whole.
        reach: Follows whether this instance reaches any target.
        view: Returns the other instances.
        process_statistics: Counters of the process.
    """

    def __init__(
        self,
        zone: str,
        port: int | None,
        timer_service: timers.TimerService,
        rng: random.Random,
        session: aiohttp.ClientSession,
        dialect: api.Dialect,
        memory: answer_bodies.AnswerMemory,
        reach: reaching.ReachKeeper,
        view: Callable[[], peer_view.PeerView],
        process_statistics: statistics.Statistics,
    ) -> None:
        self._zone = zone
        self._port = port
        self._timers = timer_service
        self._rng = rng
        self._session = session
        self._dialect = dialect
        self._memory = memory
        self._reach = reach
        self._view = view
        self._statistics = process_statistics
        self._in_flight: collections.Counter[str] = collections.Counter()

    @property
    def is_active(self) -> bool:
        """Whether requests are passed on: only others reach targets."""
        return (
            self._reach.is_lost
            and self._port is not None
            and self._view().taking_count > 0
        )

    def is_needed(self, exchange: exchanges.Exchange) -> bool:
        """Whether a request is passed on now.

        One that may have run is passed on only if its route allows a further
        run.

        Args:
            exchange: The request.
        """
        if exchange.is_forwarded or not self.is_active:
            return False
        may_run_again = (
            exchange.route.repeatable
            and exchange.runs_started < exchange.route.attempts_max
        )
        return may_run_again or not exchange.may_have_run

    async def call(
        self, exchange: exchanges.Exchange
    ) -> exchanges.Answered | None:
        """Passes a plain call on and reads the whole answer.

        Args:
            exchange: The request.

        Returns:
            The answer, which may be a refusal; None if no instance was sent
            the request.

        Raises:
            DotterelweirError: The instance did not answer; the request may
                have run.
        """
        began_s = self._timers.monotonic_s()
        opened = await self.open(exchange)
        if opened is None:
            return None
        try:
            return await self.read(exchange, opened)
        finally:
            self.close(exchange, opened, began_s)

    async def read(
        self, exchange: exchanges.Exchange, opened: PeerAnswer
    ) -> exchanges.Answered:
        """Reads an answer as a whole.

        Args:
            exchange: The request.
            opened: The answer.

        Raises:
            DotterelweirError: The answer ended early, was too late, or states
                that the request has not run, which may have run before it
                was passed on.
        """
        try:
            async with asyncio.timeout(self._time_left_s(exchange)):
                body = await self._memory.read(opened.answer, exchange.holding)
        except (aiohttp.ClientError, TimeoutError) as exc:
            raise _unknown_error(exc) from exc
        status = opened.answer.status
        if exchange.may_have_run and status in attempts.NOT_RUN_STATUSES:
            raise errors.DotterelweirError(
                errors.ErrorKind.TARGET_FAILED,
                execution=errors.Execution.UNKNOWN,
            )
        return exchanges.Answered(status, opened.headers, body)

    async def open(
        self,
        exchange: exchanges.Exchange,
        last_event_id: int | None = None,
    ) -> PeerAnswer | None:
        """Sends a request to another instance and waits for the head.

        ``close`` must follow.

        Args:
            exchange: The request.
            last_event_id: Id of the last event that the caller has got, of a
                stream that goes on; None for a request as it was sent.

        Returns:
            The answer; None if no instance was sent the request.

        Raises:
            DotterelweirError: The instance did not answer; the request may
                have run.
        """
        tried: set[str] = set()
        while len(tried) < _PEERS_MAX:
            peer = reachability.choose_peer(
                self._peers(), self._in_flight, self._zone, tried, self._rng
            )
            if peer is None:
                return None
            tried.add(peer.instance_id)
            self._in_flight[peer.instance_id] += 1
            send_state = target_client.SendState(
                request_id=exchange.request.request_id
            )
            exchange.sending = send_state
            answer = None
            try:
                answer = await self._send(
                    exchange, peer, send_state, last_event_id
                )
            except (aiohttp.ClientError, TimeoutError) as exc:
                if send_state.sent:
                    self._record(exchange, peer.instance_id, 'broken')
                    exchange.may_have_run = True
                    raise _unknown_error(exc) from exc
                self._record(exchange, peer.instance_id, 'never sent')
                exchange.sending = None
            finally:
                if answer is None:
                    self._release(peer.instance_id)
            if answer is not None:
                return PeerAnswer(
                    answer, _passed_headers(answer), peer.instance_id
                )
        return None

    def close(
        self,
        exchange: exchanges.Exchange,
        opened: PeerAnswer,
        began_s: float,
    ) -> None:
        """Closes an answer, whether it was read to its end or not.

        The request still counts as sent, as a stop may interrupt it.

        Args:
            exchange: The request.
            opened: The answer.
            began_s: Monotonic time at which the request was passed on, in
                seconds.
        """
        opened.answer.close()
        self._release(opened.peer_id)
        self._record(
            exchange,
            opened.peer_id,
            str(opened.answer.status),
            taken_s=round(self._timers.monotonic_s() - began_s, 4),
        )

    async def _send(
        self,
        exchange: exchanges.Exchange,
        peer: reachability.ForwardingPeer,
        send_state: target_client.SendState,
        last_event_id: int | None,
    ) -> aiohttp.ClientResponse:
        request = exchange.request
        time_left_s = self._time_left_s(exchange)
        host = f'[{peer.host}]' if ':' in peer.host else peer.host
        async with asyncio.timeout(time_left_s):
            return await self._session.request(
                request.method,
                attempts.build_url(f'{host}:{self._port}', request.raw_path),
                headers=self._dialect.forwarded_headers(
                    request, time_left_s, last_event_id
                ),
                data=bodies.outgoing(request.body),
                allow_redirects=False,
                trace_request_ctx=send_state,
            )

    def _peers(self) -> list[reachability.ForwardingPeer]:
        return [
            reachability.ForwardingPeer(peer.instance_id, peer.host, peer.zone)
            for peer in self._view().peers
            if peer.takes_requests
        ]

    def _release(self, peer_id: str) -> None:
        self._in_flight[peer_id] -= 1
        if not self._in_flight[peer_id]:
            del self._in_flight[peer_id]

    def _time_left_s(self, exchange: exchanges.Exchange) -> float:
        return exchange.deadline_s - self._timers.monotonic_s()

    def _record(
        self,
        exchange: exchanges.Exchange,
        peer_id: str,
        end: str,
        **fields: object,
    ) -> None:
        self._statistics.forwarded_requests.inc({'end': end})
        events.log(
            LOG,
            events.REQUEST_FORWARDED,
            request_id=exchange.request.request_id,
            peer=peer_id,
            end=end,
            **fields,
        )


def _passed_headers(answer: aiohttp.ClientResponse) -> api.Headers:
    return list(
        target_headers.end_to_end(
            (
                (
                    name.decode('latin-1'),
                    value.decode('utf-8', 'surrogateescape'),
                )
                for name, value in answer.raw_headers
            ),
            _REMOVED_FROM_ANSWERS,
        )
    )


def _unknown_error(
    error: aiohttp.ClientError | TimeoutError,
) -> errors.DotterelweirError:
    """Returns the error for a request that another instance may have sent."""
    kind = errors.ErrorKind.TARGET_FAILED
    if isinstance(error, TimeoutError):
        kind = errors.ErrorKind.REQUEST_TIMEOUT
    return errors.DotterelweirError(kind, execution=errors.Execution.UNKNOWN)
