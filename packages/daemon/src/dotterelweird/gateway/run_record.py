"""What is known of one run at its engine, kept in one place."""

import asyncio
import enum

import attrs

from dotterelweir_core.gateway import targets
from dotterelweird.gateway import api


class SourceState(enum.Enum):
    """What is known of a run at the engine that it was sent to."""

    RUNNING = 'not called to stop'
    CALLED = 'called to stop, not answered'
    STOPPED = 'stopped, memory kept'
    NO_RUN = 'no such run'
    ENDED = 'engine has ended'


@attrs.frozen
class Way:
    """An engine at which a run can continue, and the copy to start from.

    Attributes:
        target: The engine.
        copy: Copy of the run's memory.
        source: The engine that made the copy on a call; None for a backup,
            which needs no release.
    """

    target: targets.Target
    copy: api.RunCopy
    source: targets.Target | None = None


@attrs.define
class RunRecord:
    """Record of one run: where it is, what its engine was called and said.

    An engine that is called to stop a run stops it first and answers once the
    copy is complete. While that answer is missing, the run may have stopped
    or may go on; only an answer, or the end of the engine, settles it.

    Attributes:
        source: The engine that the run was sent to.
        request_id: Id of the request.
        backup: The backup that another engine keeps of the run's memory.
        copies: Copies made on calls, by the destination's id; the newest is
            the last.
        stayed: Way on at the source, which stopped the run and could not
            copy it; None otherwise.
        stop_called: Whether the source was called to stop the run.
        stop_answered: Whether the source itself confirmed that it stopped
            the run.
        leaving: Whether the run is or was moved as its source leaves.
        link_ended: Set once the link to the source has ended.
        results: Results of the calls, in order.
    """

    source: targets.Target
    request_id: str
    backup: Way | None = None
    copies: dict[str, Way] = attrs.field(factory=dict)
    stayed: Way | None = None
    stop_called: bool = False
    stop_answered: bool = False
    leaving: bool = False
    link_ended: asyncio.Event = attrs.field(factory=asyncio.Event)
    results: list[api.MoveResult] = attrs.field(factory=list)
    _settled: SourceState | None = None
    # Calls to stop the run that were accepted or may have been, and are not
    # answered; also those whose connection broke off.
    _unanswered_stops: int = 0
    # Whether the source has answered a call without stopping the run.
    _refused_stop: bool = False

    @property
    def state(self) -> SourceState:
        """What is known of the run at its source."""
        if self._settled is not None:
            return self._settled
        if self._unanswered_stops:
            return SourceState.CALLED
        return SourceState.RUNNING

    @property
    def is_settled(self) -> bool:
        """Whether the source certainly does not work on the run any more."""
        return self._settled is not None

    @property
    def newest(self) -> Way | None:
        """The newest copy made on a call; None without one."""
        return next(reversed(self.copies.values()), None)

    @property
    def known_copies(self) -> list[Way]:
        """The copies made on calls, and the memory that the source keeps."""
        kept = [self.stayed] if self.stayed is not None else []
        return [*self.copies.values(), *kept]

    @property
    def destination(self) -> targets.Target | None:
        """The engine that holds the newest copy or the backup, if any."""
        way = self.newest or self.backup
        return way.target if way else None

    @property
    def ways(self) -> tuple[Way, ...]:
        """Where the run can continue now, in order of preference.

        Empty while the source may work on the run.
        """
        newest = self.newest
        ways: list[Way | None] = []
        match self.state:
            case SourceState.STOPPED if self.stayed is not None:
                copies = [*reversed(self.copies.values())]
                ways = [self.stayed, *copies]
                if self.leaving:
                    # It soon accepts no request any more.
                    ways = [*copies, self.stayed]
            case SourceState.STOPPED if newest is not None:
                ways = [newest, self._way_back(newest.copy), self.backup]
            case SourceState.STOPPED | SourceState.NO_RUN | SourceState.ENDED:
                ways = [newest, self.backup]
        return tuple(way for way in ways if way is not None)

    def begin_call(self, final: bool) -> None:
        """Records that a call to the source begins.

        Args:
            final: Whether the call stops the run.
        """
        if final:
            self.stop_called = True
            self._unanswered_stops += 1

    def end_call(
        self,
        destination: targets.Target,
        final: bool,
        outcome: api.MoveOutcome,
        source_heard: bool,
        link_had_ended: bool = True,
    ) -> None:
        """Records the outcome of a call to the source.

        Args:
            destination: The engine that gets the copy.
            final: Whether the call stops the run.
            outcome: The outcome.
            source_heard: Whether the source was heard on another stream
                while the call was not answered.
            link_had_ended: Whether the link had ended before the call.
        """
        result = outcome.result
        repeated = bool(self.results) and self.results[-1] is result
        self.results.append(result)
        unknown = result in (api.MoveResult.BROKEN, api.MoveResult.TIMED_OUT)
        if final and not unknown:
            self._unanswered_stops -= 1
        match result:
            case api.MoveResult.MOVED:
                self._add_copy(destination, outcome.handle)
                if final:
                    self._confirm_stop()
            case api.MoveResult.STOPPED if final:
                copy = api.RunCopy(self.source.address, outcome.handle)
                self.stayed = self._way_back(copy)
                self._confirm_stop()
            case api.MoveResult.NO_RUN if (
                final and link_had_ended and self.link_ended.is_set()
            ):
                # Before the end of the link, the engine may have preempted
                # the run and resume it.
                called = self._unanswered_stops > 0
                self._settle(
                    SourceState.STOPPED if called else SourceState.NO_RUN
                )
            case api.MoveResult.REFUSED if self.link_ended.is_set():
                if not self._refused_stop or repeated:
                    self._settle(SourceState.ENDED)
            case api.MoveResult.UNREACHABLE if self.link_ended.is_set():
                if not (self._refused_stop or source_heard):
                    self._settle(SourceState.ENDED)
            case api.MoveResult.BUSY if self._unanswered_stops:
                # The engine works on an earlier call.
                pass
            case api.MoveResult.BUSY | api.MoveResult.FAILED if final:
                self._refused_stop = True

    def report_source_lost(self) -> None:
        """Records that the source is silent and accepts no connection."""
        self._settle(SourceState.ENDED)

    def _add_copy(self, destination: targets.Target, handle: str) -> None:
        self.copies.pop(destination.target_id, None)
        self.copies[destination.target_id] = Way(
            destination, api.RunCopy(self.source.address, handle), self.source
        )

    def _way_back(self, copy: api.RunCopy) -> Way:
        return Way(self.source, copy, self.source)

    def _confirm_stop(self) -> None:
        self.stop_answered = True
        # An answer of the source itself replaces what was concluded.
        self._settled = SourceState.STOPPED

    def _settle(self, state: SourceState) -> None:
        if self._settled is None:
            self._settled = state
