"""Interface between the gateway and a platform; one adapter per platform.

An adapter translates names, formats and calls. It makes no decisions.
"""

import abc
from collections.abc import Callable
from collections.abc import Sequence
import enum

import aiohttp
import attrs

from dotterelweir_core.gateway import roster
from dotterelweir_core.gateway import tables
from dotterelweir_core.gateway import targets

Headers = list[tuple[str, str]]


class StoreStream(enum.Enum):
    """A stream of keyed records in the store that the gateway follows."""

    TABLES = 'tables'
    TARGETS = 'targets'


@attrs.frozen
class Record:
    """A keyed record of a stream.

    Attributes:
        key: Key of the record.
        value: Value of the record; None if the key was removed.
        offset: Offset of the record in the stream.
    """

    key: str
    value: bytes | None
    offset: int


@attrs.frozen
class Batch:
    """Records of a stream, in the order of their offsets.

    Attributes:
        records: The records.
        end: Offset after the last record that was read.
        has_more: Whether the stream already has further records.
        era: Era of the store that the offsets belong to. It rises when the
            store is restored from an older copy; 0 if the store states none.
    """

    records: tuple[Record, ...]
    end: int
    has_more: bool = False
    era: int = 0


class StoreUnavailable(Exception):
    """The platform's store, or a peer in its place, did not serve a call."""


class RecordsExpired(Exception):
    """The store no longer has the records at the requested offset."""


# Errors that bytes from outside the process may cause in a decoder. Reading a
# deeply nested value can exceed the recursion limit.
DECODE_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
# Maximum length of the reason in a log line, which may quote the record.
_REASON_CHARS_MAX = 200


class RecordInvalid(Exception):
    """A record of the store cannot be decoded."""

    @classmethod
    def from_error(cls, error: Exception) -> 'RecordInvalid':
        """Returns the error of a record, with a reason of bounded length.

        Args:
            error: The error of the decoder.
        """
        reason = f'{type(error).__name__}: {error}'
        return cls(reason[:_REASON_CHARS_MAX])


class Store(abc.ABC):
    """Client of the platform's store, limited to what the gateway needs."""

    @abc.abstractmethod
    async def read_snapshot(self, stream: StoreStream) -> Batch:
        """Reads the newest record of every key.

        Args:
            stream: The stream.

        Raises:
            StoreUnavailable: The store did not answer, or refused the call.
        """

    @abc.abstractmethod
    async def read(self, stream: StoreStream, offset: int) -> Batch:
        """Reads the records from an offset on; none if there are no new ones.

        Args:
            stream: The stream.
            offset: Offset of the first record.

        Raises:
            StoreUnavailable: The store did not answer, or refused the call.
            RecordsExpired: The store no longer has these records.
        """

    @abc.abstractmethod
    async def read_roster(self) -> tuple[roster.Entry, ...]:
        """Reads the roster of instances; invalid entries are left out.

        Raises:
            StoreUnavailable: The store did not answer, or refused the call.
        """

    @abc.abstractmethod
    async def write_roster_entry(self, entry: roster.Entry) -> None:
        """Enters an instance into the roster; its offset is not written.

        Args:
            entry: The entry.

        Raises:
            StoreUnavailable: The store did not answer, or refused the call.
        """

    @abc.abstractmethod
    async def remove_roster_entry(self, instance_id: str) -> None:
        """Removes the entry of an instance from the roster.

        Args:
            instance_id: Id of the instance.

        Raises:
            StoreUnavailable: The store did not answer, or refused the call.
        """

    @abc.abstractmethod
    def decode_tables(self, record: Record) -> tables.Tables | None:
        """Decodes the tables in a record.

        Args:
            record: A record of the stream of tables.

        Returns:
            The tables; None if the record holds something else.

        Raises:
            RecordInvalid: The record cannot be decoded.
        """

    @abc.abstractmethod
    def evacuated_zone(self, record: Record) -> str | None:
        """Returns the availability zone that a record is about.

        Args:
            record: A record of the stream of tables.

        Returns:
            The zone; None if the record is not about a zone's evacuation.

        Raises:
            RecordInvalid: The record names no valid zone.
        """

    @abc.abstractmethod
    def decode_evacuation(self, record: Record) -> bool:
        """Decodes whether a zone is evacuated.

        Args:
            record: A record for which ``evacuated_zone`` returns a zone.

        Raises:
            RecordInvalid: The record cannot be decoded.
        """

    @abc.abstractmethod
    def decode_target(self, record: Record) -> targets.Target | None:
        """Decodes the target in a record.

        Args:
            record: A record of the stream of targets.

        Returns:
            The target; None if it was removed.

        Raises:
            RecordInvalid: The record cannot be decoded.
        """


@attrs.frozen
class CallerRequest:
    """A decoded request of a caller.

    Attributes:
        request_id: Id of the request; empty if the caller sent none.
        method: HTTP method.
        raw_path: Path and query as sent.
        host: Host that the request is addressed to.
        key: API key of the caller's organisation; empty if there is none.
        timeout_s: Time for which the caller waits, in seconds; None if the
            request does not state it.
        headers: Headers that are forwarded to the target.
        body: Body of the request.
        prompt_tokens: Length of the prompt, in tokens; 0 if there is none.
        output_tokens_max: Limit of the output, in tokens; 0 if there is
            none.
        output_tokens_hint: The caller's estimate of the output, in tokens; 0
            if there is none.
        last_event_id: Id of the last event that a resuming caller received;
            None if the request resumes no stream.
        shared_parts: Ids of the parts of the prompt that other requests may
            share; empty if the request states none.
        resumed_id: Id of the request that brought the first event of the
            stream that is resumed; empty if the caller does not name it.
        raw_headers: Headers as the caller sent them.
    """

    request_id: str
    method: str
    raw_path: str
    host: str
    key: str
    timeout_s: float | None
    headers: Headers
    body: bytes
    prompt_tokens: int = 0
    output_tokens_max: int = 0
    output_tokens_hint: int = 0
    last_event_id: int | None = None
    shared_parts: tuple[str, ...] = ()
    resumed_id: str = ''
    raw_headers: Sequence[tuple[bytes, bytes]] = ()

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.raw_path.partition('?')[0]

    @property
    def output_tokens_expected(self) -> int:
        """Expected length of the output, in tokens; 0 if unknown."""
        expected = self.output_tokens_hint or self.output_tokens_max
        if self.output_tokens_max:
            expected = min(expected, self.output_tokens_max)
        return expected


@attrs.frozen
class RunCopy:
    """Reference to a copy of a run's memory.

    Attributes:
        address: Address of the engine that knows the handle: the source of a
            moved copy, the holder of a backup.
        handle: Handle of the copy; the request id for a backup.
    """

    address: str
    handle: str


@attrs.frozen
class AttemptOptions:
    """Parameters of an attempt, in addition to the caller's request.

    Attributes:
        target: Target of the attempt.
        time_left_s: Time until the request expires, in seconds.
        organisation: Name of the organisation; None if it is unknown.
        backup: Target that holds a copy of the run; None if there is none.
        copy: Copy from which the target resumes a run; None for a new run.
        last_event_id: Id of the event after which a stream is resumed; None
            for a new stream.
    """

    target: targets.Target
    time_left_s: float
    organisation: str | None = None
    backup: targets.Target | None = None
    copy: RunCopy | None = None
    last_event_id: int | None = None


@attrs.frozen
class TargetNotice:
    """A target's notice about itself, in the headers of an answer.

    Attributes:
        leaving: Whether the target is leaving and accepts no new work.
        pause_s: Time for which this instance must not send the target any
            request, in seconds; 0 for none.
        limit_per_s: Requests per second that the target accepts from all
            instances together; infinite if the answer shows that it has no
            limit, None if the answer says nothing about a limit.
        cold_left_s: Time for which the target is still cold, in seconds; 0
            if the answer does not say so.
        refusals_max_per_s: Requests that the target may turn away in a second
            before it ends; infinite if the answer shows that it is not
            brittle, None if the answer says nothing about that.
    """

    leaving: bool = False
    pause_s: float = 0.0
    limit_per_s: float | None = None
    cold_left_s: float = 0.0
    refusals_max_per_s: float | None = None


NO_NOTICE = TargetNotice()

# Handles a notice of a target. The last argument is the time of the send of
# the request that was answered, in seconds, by a clock that counts
# suspensions; None if it is unknown.
NoticeListener = Callable[[targets.Target, TargetNotice, float | None], None]


@attrs.frozen
class AnswerFacts:
    """Facts decoded from the head of a target's answer.

    Attributes:
        not_run: Whether the target states that the request did not run.
        matches_request: Whether the answer names the request; without that,
            none of its statements applies to the request.
        sealed: Whether the answer carries the seal header of the target; its
            value is not checked.
        encoded: Whether the body has a content encoding, which the gateway
            never requests.
        headers: Headers that are forwarded to the caller.
        notice: Notice of the target about itself.
        echoed_id: Id of the request that the answer names; None if it names
            none.
    """

    not_run: bool
    matches_request: bool
    sealed: bool
    encoded: bool
    headers: Headers
    notice: TargetNotice = NO_NOTICE
    echoed_id: str | None = None

    @property
    def is_authentic(self) -> bool:
        """Whether the body may be used as the target's answer."""
        return self.matches_request and self.sealed and not self.encoded


class Dialect(abc.ABC):
    """Header names and formats of the platform's requests and answers.

    Attributes:
        ready_path: Path of the readiness check.
    """

    ready_path: str

    @abc.abstractmethod
    def decode_request(
        self,
        method: str,
        raw_path: str,
        headers: Sequence[tuple[bytes, bytes]],
        body: bytes,
    ) -> CallerRequest:
        """Decodes a caller's request.

        Args:
            method: HTTP method.
            raw_path: Path and query as sent.
            headers: Headers as sent.
            body: Body of the request.

        Raises:
            ValueError: A header of the platform is malformed.
        """

    @abc.abstractmethod
    def attempt_headers(
        self, request: CallerRequest, options: AttemptOptions
    ) -> Headers:
        """Returns the headers of an attempt.

        Args:
            request: The caller's request.
            options: Parameters of the attempt.
        """

    @abc.abstractmethod
    def forwarded_headers(
        self,
        request: CallerRequest,
        time_left_s: float,
        last_event_id: int | None = None,
    ) -> Headers:
        """Returns the headers of a request passed to another instance.

        They are those that the caller sent, with the time that is left.

        Args:
            request: The caller's request.
            time_left_s: Time until the request expires, in seconds.
            last_event_id: Id of the last event that the caller has got, of a
                stream that goes on; None for a request as it was sent.
        """

    @abc.abstractmethod
    def decode_answer(
        self,
        request_id: str,
        status: int,
        headers: Sequence[tuple[bytes, bytes]],
    ) -> AnswerFacts:
        """Decodes the head of a target's answer.

        Args:
            request_id: Id of the request that was sent.
            status: HTTP status.
            headers: Headers as received.
        """

    @abc.abstractmethod
    def refusal_headers(
        self, request_id: str, retry_after_s: float | None
    ) -> Headers:
        """Returns the headers of a refusal by the gateway itself.

        Args:
            request_id: Id of the request; empty if it has none.
            retry_after_s: Time after which the caller may retry, in seconds;
                None to state none.
        """


class MoveResult(enum.Enum):
    """Result of moving a run to another engine."""

    MOVED = 'moved'
    STOPPED = 'stopped, copy stays at the source'
    # Also the answer for a run that the engine has preempted and will resume.
    NO_RUN = 'no such run'
    BUSY = 'another call is in progress'
    FAILED = 'failed'
    # The connection was refused, as by an engine that has ended.
    REFUSED = 'connection refused'
    # No connection was made in time, as with an engine behind a cut link.
    UNREACHABLE = 'unreachable'
    # The engine may have ended during the call, or reset this connection
    # alone, as it does beyond its maximum number of connections.
    BROKEN = 'connection broken off'
    # The engine accepted the call and may work on the run.
    TIMED_OUT = 'not answered in time'


@attrs.frozen
class MoveOutcome:
    """Outcome of an attempt to move a run.

    Attributes:
        result: Result of the attempt.
        handle: Handle of the copy; empty if there is none.
    """

    result: MoveResult
    handle: str = ''


class RunControl(abc.ABC):
    """Client that controls runs at model engines."""

    @abc.abstractmethod
    async def move(
        self,
        request_id: str,
        source: targets.Target,
        destination: targets.Target,
        final: bool,
        timeout_s: float,
    ) -> MoveOutcome:
        """Copies a run's memory to another engine.

        Args:
            request_id: Id of the request.
            source: Engine that executes the run.
            destination: Engine that receives the copy.
            final: Whether the run stops at the source first.
            timeout_s: Timeout of the call, in seconds.
        """

    @abc.abstractmethod
    async def release(
        self, engine: targets.Target, copy: RunCopy, timeout_s: float
    ) -> bool:
        """Requests an engine to free a copy.

        Args:
            engine: The engine that made or holds the copy.
            copy: The copy.
            timeout_s: Timeout of the call, in seconds.

        Returns:
            Whether the engine answered, even if it no longer has the copy.
        """


class Adapter(abc.ABC):
    """Creates the clients and the dialect of one platform."""

    @abc.abstractmethod
    def store(self, session: aiohttp.ClientSession) -> Store:
        """Returns a client of the platform's store.

        Args:
            session: HTTP client.
        """

    @abc.abstractmethod
    def dialect(self) -> Dialect:
        """Returns the dialect of the platform's requests and answers."""

    @abc.abstractmethod
    def run_control(
        self, session: aiohttp.ClientSession, notice_listener: NoticeListener
    ) -> RunControl:
        """Returns a client that controls runs at model engines.

        Args:
            session: HTTP client.
            notice_listener: Called with the notices in the engines' answers.
        """
