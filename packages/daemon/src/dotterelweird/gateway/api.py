"""What the gateway needs of a platform; each platform has one adapter.

An adapter translates names, formats and calls. It decides nothing.
"""

import abc
from collections.abc import Callable
from collections.abc import Sequence
import enum

import aiohttp
import attrs

from dotterelweir_core.gateway import tables
from dotterelweir_core.gateway import targets

Headers = list[tuple[str, str]]


class StoreStream(enum.Enum):
    """A stream of keyed records that the gateway follows."""

    TABLES = 'tables'
    TARGETS = 'targets'


@attrs.frozen
class Record:
    """One keyed record.

    Attributes:
        key: Its key.
        value: Its value; None if the key was removed.
        offset: Its offset in the stream.
    """

    key: str
    value: bytes | None
    offset: int


@attrs.frozen
class Batch:
    """Records of a stream in order.

    Attributes:
        records: The records.
        end: Offset after the last record that was read.
        more: Whether the stream has further records already.
        era: Era of the store that the offsets belong to. It rises when the
            store comes back from an older copy; 0 if the store names none.
    """

    records: tuple[Record, ...]
    end: int
    has_more: bool = False
    era: int = 0


class StoreUnavailable(Exception):
    """The platform's store did not answer a call, or refused it."""


class RecordsExpired(Exception):
    """The records at the asked offset are no longer kept."""


class RecordInvalid(Exception):
    """A record of the store cannot be decoded."""


class Store(abc.ABC):
    """The platform's store, as far as the gateway reads it."""

    @abc.abstractmethod
    async def read_snapshot(self, stream: StoreStream) -> Batch:
        """The newest record of every key.

        Raises:
            StoreUnavailable: The store did not answer.
        """

    @abc.abstractmethod
    async def read(self, stream: StoreStream, offset: int) -> Batch:
        """The records from an offset on; none if there are no new ones.

        Args:
            stream: The stream.
            offset: Offset of the first record.

        Raises:
            StoreUnavailable: The store did not answer.
            RecordsExpired: The records are no longer kept.
        """

    @abc.abstractmethod
    def decode_tables(self, record: Record) -> tables.Tables | None:
        """The tables in a record; None if the record holds something else.

        Raises:
            RecordInvalid: The record cannot be decoded.
        """

    @abc.abstractmethod
    def decode_target(self, record: Record) -> targets.Target | None:
        """The target in a record; None if it was removed.

        Raises:
            RecordInvalid: The record cannot be decoded.
        """


@attrs.frozen
class CallerRequest:
    """A request of a caller, decoded.

    Attributes:
        request_id: Name of the request; empty if the caller gave none.
        method: HTTP method.
        raw_path: Path and query as sent.
        host: Host that the caller named.
        key: Key of its organisation; empty if there is none.
        timeout_s: How long the caller waits, in seconds; None if not said.
        headers: Headers that are forwarded.
        body: The body.
        prompt_tokens: Size of the prompt; 0 if there is none.
        output_tokens_max: Bound on the output; 0 if there is none.
        output_tokens_hint: The caller's estimate; 0 if there is none.
        last_event_id: Last event that a resuming caller has, if any.
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

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.raw_path.partition('?')[0]

    @property
    def output_tokens_expected(self) -> int:
        """Expected size of the output."""
        expected = self.output_tokens_hint or self.output_tokens_max
        if self.output_tokens_max:
            expected = min(expected, self.output_tokens_max)
        return expected


@attrs.frozen
class RunCopy:
    """Where a copy of a run's memory can be used.

    Attributes:
        address: Address that names the copy.
        handle: Name of the copy at that address.
    """

    address: str
    handle: str


@attrs.frozen
class AttemptOptions:
    """What an attempt at a target carries besides the caller's request.

    Attributes:
        target: The target.
        time_left_s: Time until the request is given up, in seconds.
        organisation: Name of the organisation, if it is known.
        backup: Target that keeps a copy of the run, if there is one.
        copy: Copy of a run that goes on here, if it does.
        last_event_id: Event after which a stream goes on.
    """

    target: targets.Target
    time_left_s: float
    organisation: str | None = None
    backup: targets.Target | None = None
    copy: RunCopy | None = None
    last_event_id: int | None = None


@attrs.frozen
class TargetNotice:
    """What a target says of itself beside an answer.

    Attributes:
        leaving: Whether it leaves and wants no new work.
        pause_s: Time for which it wants nothing at all from this instance,
            in seconds; 0 for none.
    """

    leaving: bool = False
    pause_s: float = 0.0


NO_NOTICE = TargetNotice()

# Takes what a target said of itself.
NoticeListener = Callable[[targets.Target, TargetNotice], None]


@attrs.frozen
class AnswerFacts:
    """What the head of a target's answer says.

    Attributes:
        not_run: Whether the target states that the request did not run.
        matches_request: Whether the answer belongs to the request.
        sealed: Whether the target signed it.
        encoded: Whether its body has an encoding, which nobody asked for.
        headers: Headers that are forwarded to the caller.
        notice: What the target says of itself.
    """

    not_run: bool
    matches_request: bool
    sealed: bool
    encoded: bool
    headers: Headers
    notice: TargetNotice = NO_NOTICE

    @property
    def is_authentic(self) -> bool:
        """Whether the body may be taken for the target's answer."""
        return self.matches_request and self.sealed and not self.encoded


class Dialect(abc.ABC):
    """Names and formats of requests and answers."""

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

        Raises:
            ValueError: A header of the platform has a wrong form.
        """

    @abc.abstractmethod
    def attempt_headers(
        self, request: CallerRequest, options: AttemptOptions
    ) -> Headers:
        """The headers of an attempt at a target."""

    @abc.abstractmethod
    def decode_answer(
        self,
        request_id: str,
        status: int,
        headers: Sequence[tuple[bytes, bytes]],
    ) -> AnswerFacts:
        """Decodes the head of a target's answer."""

    @abc.abstractmethod
    def refusal_headers(
        self, request_id: str, retry_after_s: float | None
    ) -> Headers:
        """The headers of an answer of the gateway's own."""


class MoveResult(enum.Enum):
    """What came of moving a run."""

    MOVED = 'moved'
    STOPPED = 'stopped, copy stays at the source'
    NO_RUN = 'no such run'
    BUSY = 'another call is in progress'
    FAILED = 'failed'
    UNREACHABLE = 'unreachable'


@attrs.frozen
class Move:
    """The end of a try to move a run.

    Attributes:
        result: What came of it.
        handle: Name of the copy, if there is one.
    """

    result: MoveResult
    handle: str = ''


class RunControl(abc.ABC):
    """Control of runs at model engines."""

    @abc.abstractmethod
    async def move(
        self,
        request_id: str,
        source: targets.Target,
        destination: targets.Target,
        final: bool,
        timeout_s: float,
    ) -> Move:
        """Copies a run's memory to another engine.

        Args:
            request_id: Name of the request.
            source: Where it runs.
            destination: Where the copy goes.
            final: Whether the run stops at the source first.
            timeout_s: Bound on the call, in seconds.
        """

    @abc.abstractmethod
    async def release(
        self, engine: targets.Target, copy: RunCopy, timeout_s: float
    ) -> bool:
        """Asks an engine to free a copy.

        Args:
            engine: The engine that made or holds it.
            copy: The copy.
            timeout_s: Bound on the call, in seconds.

        Returns:
            Whether the engine answered; it may not know the copy any more.
        """


class Adapter(abc.ABC):
    """Makes the parts that speak to one platform."""

    @abc.abstractmethod
    def store(self, session: aiohttp.ClientSession) -> Store:
        """The client of the platform's store."""

    @abc.abstractmethod
    def dialect(self) -> Dialect:
        """Names and formats of requests and answers."""

    @abc.abstractmethod
    def run_control(
        self, session: aiohttp.ClientSession, take_notice: NoticeListener
    ) -> RunControl:
        """Control of runs at model engines.

        Args:
            session: HTTP client.
            take_notice: Takes what an engine says of itself in its answers.
        """
