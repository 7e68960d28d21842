"""Finds the software version of streams that callers take up again."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import enum
import itertools
import logging
import math

import attrs

from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core import timers
from dotterelweir_core.gateway import stream_origins
from dotterelweir_core.gateway import tables
from dotterelweir_core.gateway import targets
from dotterelweird.gateway import exchange as exchanges
from dotterelweird.gateway import peer_view
from dotterelweird.gateway import statistics

LOG = logging.getLogger(__name__)

# Time for which an answer of another instance is awaited before all that did
# not answer are asked once more, in seconds. A datagram may be lost.
_ANSWER_TIMEOUT_S = 0.06
_ASKS_MAX = 2
# Time in which a caller may take a stream up, as a multiple of the time that
# the route keeps a caller waiting.
_LIFETIME_FACTOR = 2.0
# Age of the targets above which another version may have come meanwhile, in
# seconds: above the usual time between two reads of the store.
_TARGETS_AGE_MAX_S = 1.5
# Time after which a caller whose stream is of an unknown version may retry, in
# seconds: another instance may know the version.
_RETRY_AFTER_S = 0.3
# Maximum number of statements in a datagram; one has up to about 90 bytes.
_STATEMENTS_PER_MESSAGE = 12

OriginMessage = (
    stream_origins.OriginNews
    | stream_origins.OriginQuery
    | stream_origins.OriginAnswer
)


class Knowledge(enum.Enum):
    """How an instance knows the version that began a stream."""

    OWN = 'own record'
    ONLY_VERSION = 'only version'
    PEER = 'another instance'
    NONE = 'unknown'


@attrs.define(eq=False)
class _PendingQuery:
    """A query that is not decided yet.

    Attributes:
        unanswered: Addresses of the instances that have not answered.
        decided: Set once an answer names the origin or all have answered.
        answers: The answers.
    """

    unanswered: set[str]
    decided: asyncio.Event = attrs.field(factory=asyncio.Event)
    answers: list[stream_origins.OriginAnswer] = attrs.field(factory=list)

    def add(self, answer: stream_origins.OriginAnswer, host: str) -> None:
        """Adds the answer of an instance that was asked."""
        if host not in self.unanswered:
            return
        self.unanswered.discard(host)
        self.answers.append(answer)
        if answer.origin is not None or not self.unanswered:
            self.decided.set()


class StreamOrigins:
    """Records where streams begin, and finds it for those taken up.

    Args:
        timer_service: The timer service.
        process_statistics: Counters of the process.
        directory: The registered targets.
        targets_age_s: Returns the time since the registered targets were
            confirmed, in seconds.
        confirm_targets: Waits for a read of the targets by this instance that
            began after the given monotonic time, in seconds; returns whether
            there is one.
        send: Sends a message to the instance at an IP address.
        view: Returns the other instances.
    """

    def __init__(
        self,
        timer_service: timers.TimerService,
        process_statistics: statistics.Statistics,
        directory: targets.TargetDirectory,
        targets_age_s: Callable[[], float],
        confirm_targets: Callable[[float], Awaitable[bool]],
        send: Callable[[str, OriginMessage], None],
        view: Callable[[], peer_view.PeerView],
    ) -> None:
        self._timers = timer_service
        self._statistics = process_statistics
        self._targets_age_s = targets_age_s
        self._confirm_targets = confirm_targets
        self._send = send
        self._view = view
        self._registry = stream_origins.OriginRegistry()
        self._history = stream_origins.VersionHistory(directory)
        self._pending: dict[int, _PendingQuery] = {}
        self._numbers = itertools.count(1)

    def begin(self) -> None:
        """Records that all registered targets are known."""
        self._history.begin(self._timers.monotonic_s())

    def apply_change(self, change: targets.TargetChange) -> None:
        """Applies a change of a target.

        Args:
            change: The change.
        """
        now_s = self._timers.monotonic_s()
        if not self._history.apply(change, now_s):
            return
        # Streams of before may be taken up once there are two versions.
        self._send_news(
            self._registry.own_statements(change.after.service, now_s)
        )

    def record_begin(
        self, exchange: exchanges.Exchange, target: targets.Target
    ) -> None:
        """Records that a target has begun a stream, or goes on with it.

        Args:
            exchange: The request.
            target: The target.
        """
        if not exchange.route.resumable:
            return
        request = exchange.request
        statement = stream_origins.OriginStatement(
            request.resumed_id or request.request_id,
            stream_origins.StreamOrigin(
                target.service, target.software_version
            ),
            _lifetime_s(exchange.route),
        )
        now_s = self._timers.monotonic_s()
        self._registry.record(statement, now_s, is_own=True)
        known = self._known_versions(target.service, statement.lifetime_s)
        if known.only is None:
            self._send_news((statement,))

    async def find(
        self, exchange: exchanges.Exchange
    ) -> stream_origins.StreamOrigin:
        """Returns where a stream began that a caller takes up.

        Args:
            exchange: The request.

        Raises:
            DotterelweirError: The software version is not known, while the
                service has or had several.
        """
        began_s = self._timers.monotonic_s()
        targets_age_s = self._targets_age_s()
        request, service = exchange.request, exchange.service.name
        origin, knowledge = await self._find(
            request.resumed_id, service, _lifetime_s(exchange.route), began_s
        )
        self._statistics.taken_up_streams.inc({'origin': knowledge.value})
        events.log(
            LOG,
            events.STREAM_TAKEN_UP,
            request_id=request.request_id,
            resumed_id=request.resumed_id,
            last_event_id=request.last_event_id,
            service=service,
            origin=knowledge.value,
            software_version=origin.software_version if origin else None,
            targets_age_s=round(targets_age_s, 3)
            if math.isfinite(targets_age_s)
            else None,
            taken_s=round(self._timers.monotonic_s() - began_s, 4),
        )
        if origin is None:
            raise errors.DotterelweirError(
                errors.ErrorKind.STREAM_ORIGIN_UNKNOWN,
                retry_after_s=_RETRY_AFTER_S,
            )
        return origin

    async def _find(
        self,
        request_id: str,
        service: str,
        lifetime_s: float,
        arrived_s: float,
    ) -> tuple[stream_origins.StreamOrigin | None, Knowledge]:
        """Finds where a stream began.

        That only one version is known here is no evidence by itself: engines
        of another one may have joined, and begun the stream, while this
        instance was out of step. Nor is it at a peer, which may be so too.
        Evidence is newer than the caller's request: a read of the store, or,
        while that fails, the answers of all that may know.

        Args:
            request_id: Id of the attempt that brought its first event.
            service: Name of the service that the request is routed to.
            lifetime_s: Longest time since the stream began, in seconds.
            arrived_s: Monotonic time from which on evidence counts, in
                seconds.
        """
        origin = self._find_own(request_id)
        if origin is not None:
            return origin, Knowledge.OWN
        is_read = False
        if len(self._versions(service, lifetime_s)) <= 1:
            is_read = await self._confirm_targets(arrived_s)
            origin = self._find_own(request_id)
            if origin is not None:
                return origin, Knowledge.OWN
        now_s = self._timers.monotonic_s()
        versions = self._versions(service, lifetime_s)
        if (
            is_read
            and len(versions) == 1
            and self._history.is_complete(lifetime_s, now_s)
        ):
            return _only(service, versions), Knowledge.ONLY_VERSION
        answers, all_answered = await self._ask(
            request_id, service, lifetime_s
        )
        for answer in answers:
            if answer.origin is not None:
                return answer.origin, Knowledge.PEER
        versions = self._versions(service, lifetime_s).union(
            *(answer.known.versions for answer in answers)
        )
        present_known = is_read or (all_answered and self._is_in_touch())
        if (
            len(versions) == 1
            and present_known
            and self._is_past_known(service, lifetime_s, answers)
        ):
            return _only(service, versions), Knowledge.ONLY_VERSION
        return None, Knowledge.NONE

    def _find_own(self, request_id: str) -> stream_origins.StreamOrigin | None:
        return self._registry.find(request_id, self._timers.monotonic_s())

    def _versions(self, service: str, lifetime_s: float) -> frozenset[str]:
        return frozenset(
            self._history.versions(
                service, lifetime_s, self._timers.monotonic_s()
            )
        )

    def _is_in_touch(self) -> bool:
        """Whether no instance is known that is not heard."""
        view = self._view()
        return view.is_informed and view.reachable_share >= 1.0

    def _is_past_known(
        self,
        service: str,
        lifetime_s: float,
        answers: list[stream_origins.OriginAnswer],
    ) -> bool:
        """Whether all versions that a service had lately are known."""
        now_s = self._timers.monotonic_s()
        return (
            self._history.is_complete(lifetime_s, now_s)
            or any(answer.known.is_complete for answer in answers)
            or self._history.is_calm(
                service, lifetime_s, self._timers.wall_s()
            )
        )

    def handle_message(self, message: OriginMessage, host: str) -> None:
        """Handles a message of another instance.

        Args:
            message: The message.
            host: IP address of the instance.
        """
        now_s = self._timers.monotonic_s()
        match message:
            case stream_origins.OriginNews(statements=statements):
                for statement in statements:
                    self._registry.record(statement, now_s)
            case stream_origins.OriginQuery():
                answer = stream_origins.OriginAnswer(
                    message.number,
                    self._registry.find(message.request_id, now_s),
                    self._known_versions(message.service, message.lifetime_s),
                )
                self._send(host, answer)
            case stream_origins.OriginAnswer():
                pending = self._pending.get(message.number)
                if pending is not None:
                    pending.add(message, host)

    def _known_versions(
        self, service: str, lifetime_s: float
    ) -> stream_origins.KnownVersions:
        now_s = self._timers.monotonic_s()
        return stream_origins.KnownVersions(
            frozenset(self._history.versions(service, lifetime_s, now_s)),
            self._is_informed()
            and self._history.is_complete(lifetime_s, now_s),
        )

    def _is_informed(self) -> bool:
        """Whether this instance would have learned of a further version.

        From the store, or from the others, if all of them are reached.
        """
        is_fresh = self._targets_age_s() <= _TARGETS_AGE_MAX_S
        return is_fresh or self._view().reachable_share >= 1.0

    async def _ask(
        self, request_id: str, service: str, lifetime_s: float
    ) -> tuple[list[stream_origins.OriginAnswer], bool]:
        """Asks the instances that may know where a stream began.

        Returns:
            The answers up to the first one that names the origin, and whether
            all that were asked have answered.
        """
        hosts = self._holder_hosts(request_id, stream_origins.ASKED)
        if not hosts:
            return [], True
        number = next(self._numbers)
        query = stream_origins.OriginQuery(
            number, request_id, service, lifetime_s
        )
        pending = self._pending[number] = _PendingQuery(set(hosts))
        try:
            for _ in range(_ASKS_MAX):
                for host in tuple(pending.unanswered):
                    self._send(host, query)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                        await pending.decided.wait()
                        break
        finally:
            del self._pending[number]
        return pending.answers, not pending.unanswered

    def _send_news(
        self, statements: tuple[stream_origins.OriginStatement, ...]
    ) -> None:
        """Sends where streams began to the holders of each."""
        by_host: dict[str, list[stream_origins.OriginStatement]] = {}
        for statement in statements:
            for host in self._holder_hosts(
                statement.request_id, stream_origins.HOLDERS
            ):
                by_host.setdefault(host, []).append(statement)
        for host, news in by_host.items():
            for start in range(0, len(news), _STATEMENTS_PER_MESSAGE):
                batch = news[start : start + _STATEMENTS_PER_MESSAGE]
                self._send(host, stream_origins.OriginNews(tuple(batch)))

    def _holder_hosts(self, request_id: str, count: int) -> list[str]:
        hosts = {peer.instance_id: peer.host for peer in self._view().peers}
        ranked = stream_origins.rank_holders(hosts, request_id, count)
        return [hosts[instance_id] for instance_id in ranked]


def _only(
    service: str, versions: frozenset[str]
) -> stream_origins.StreamOrigin:
    """Returns the origin of a stream of a service with one version."""
    (version,) = versions
    return stream_origins.StreamOrigin(service, version)


def _lifetime_s(route: tables.Route) -> float:
    """Returns the longest age of a stream that a caller takes up, in s."""
    return _LIFETIME_FACTOR * route.timeout_s
