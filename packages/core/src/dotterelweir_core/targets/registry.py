"""Registry of targets, merged from all sources of one instance.

The sources are the instance list, the targets' own answers, load reports and
peers. An incarnation that any source has reported as leaving stays leaving,
whatever a later or stale source reports.
"""

from collections.abc import Callable
from collections.abc import Iterable
import enum

import attrs

from dotterelweir_core.tables import model as tables_model
from dotterelweir_core.targets import model
from dotterelweir_core.targets import pools

# An incarnation that answered within this time is not replaced because of
# the instance list alone, which may lag behind the target.
ANSWER_PRECEDENCE_S = 3.0
# A target that is missing from the list is kept this long after its last
# answer. A plain service without load reports answers only when it is called.
UNLISTED_GRACE_S = 10.0
# Records of old incarnations are kept for longer than any instance list or
# peer can lag.
RETENTION_S = 3600.0
# Bounds the leaving records of unknown incarnations to about 1 MB of memory.
UNKNOWN_LEAVING_MAX = 4096


class Source(enum.StrEnum):
    """The source of an update on a target."""

    LIST = 'list'
    ANSWER = 'answer'
    PEER = 'peer'


@attrs.frozen
class TargetStatus:
    """The merged state of one incarnation of a target.

    Attributes:
        target: The target.
        state: Whether the target accepts new work.
        report: The newest load report, if there is one.
        leaving_source: The first source that reported it as leaving.
    """

    target: model.Target
    state: model.TargetState
    report: model.LoadReport | None = None
    leaving_source: Source | None = None


@attrs.frozen
class Change:
    """A change of a target's state.

    Attributes:
        target: The target.
        state: The new state.
        source: The source of the update.
    """

    target: model.Target
    state: model.TargetState
    source: Source


Subscriber = Callable[[Change], None]


@attrs.define
class _Entry:
    """The merged state of one incarnation; times are monotonic seconds."""

    target: model.Target
    adopted_s: float
    listed: bool = False
    listed_s: float | None = None
    answered_s: float | None = None
    report: model.LoadReport | None = None
    gone: bool = False


@attrs.frozen
class _Leaving:
    """The first report of an incarnation as leaving."""

    source: Source
    recorded_s: float


class TargetRegistry:
    """Merges updates on targets. Times are monotonic seconds."""

    def __init__(self) -> None:
        self._current: dict[str, _Entry] = {}
        self._leaving: dict[tuple[str, int], _Leaving] = {}
        # Entries that another incarnation replaced, with the time of the
        # replacement.
        self._replaced: dict[tuple[str, int], tuple[_Entry, float]] = {}
        self._subscribers: list[Subscriber] = []

    def subscribe(self, subscriber: Subscriber) -> Callable[[], None]:
        """Registers a function that is called at every change.

        Returns:
            A function that ends the subscription.
        """
        self._subscribers.append(subscriber)
        return lambda: self._subscribers.remove(subscriber)

    # Queries.

    def get(
        self, target_id: str, incarnation: int | None = None
    ) -> model.Target | None:
        """Finds a live or leaving target.

        Args:
            target_id: Name of the target.
            incarnation: The incarnation; the current one if None. A replaced
                incarnation is found while it may still finish its work.

        Returns:
            The target; None if it is unknown or gone.
        """
        entry = self._current.get(target_id)
        if incarnation is not None and (
            entry is None or entry.target.incarnation != incarnation
        ):
            entry, _ = self._replaced.get(
                (target_id, incarnation), (None, 0.0)
            )
        return None if entry is None or entry.gone else entry.target

    def all(self) -> tuple[model.Target, ...]:
        """Returns every live or leaving target, sorted by name."""
        return tuple(
            entry.target
            for _, entry in sorted(self._current.items())
            if not entry.gone
        )

    def status(self, target_id: str) -> TargetStatus | None:
        """Returns the status of the current incarnation of a target."""
        entry = self._current.get(target_id)
        return None if entry is None else self._status(entry)

    def statuses(self) -> tuple[TargetStatus, ...]:
        """Returns the status of every target, sorted by name."""
        return tuple(
            self._status(entry) for _, entry in sorted(self._current.items())
        )

    def leaving(self) -> tuple[tuple[str, int], ...]:
        """Returns name and incarnation of each leaving incarnation."""
        return tuple(self._leaving)

    def targets_for(self, pool: tables_model.Pool) -> tuple[model.Target, ...]:
        """Returns the live targets of a pool, sorted by name."""
        return tuple(
            entry.target
            for _, entry in sorted(self._current.items())
            if self._state(entry) is model.TargetState.LIVE
            and pools.belongs(entry.target, entry.report, pool)
        )

    # Commands.

    def record_list(
        self,
        rows: Iterable[tuple[model.Target, model.TargetState]],
        now_s: float,
    ) -> None:
        """Records a complete instance list, which may be stale.

        Args:
            rows: Each listed target with its state.
            now_s: The time.
        """
        listed: dict[tuple[str, int], model.Target] = {}
        for target, state in rows:
            key = (target.target_id, target.incarnation)
            listed[key] = target
            if state is not model.TargetState.LIVE:
                self._mark_leaving(key, Source.LIST, now_s)
        # Leaving incarnations come first, so that a live one replaces them
        # if the list has both.
        for key, target in sorted(
            listed.items(), key=lambda row: row[0] not in self._leaving
        ):
            if self._update_current_from_list(key, target, now_s):
                self._adopt(target, Source.LIST, now_s)
        for entry in list(self._current.values()):
            entry.listed = _key(entry.target) in listed
            if entry.listed:
                entry.listed_s = now_s
        self.expire(now_s)

    def record_report(
        self,
        target: model.Target,
        report: model.LoadReport,
        sent_s: float,
        now_s: float,
        source: Source = Source.ANSWER,
    ) -> None:
        """Records a load report.

        Args:
            target: The target that the request was sent to.
            report: The report. A report of another target is ignored,
                because that target has taken over the address.
            sent_s: When the request was sent.
            now_s: The time.
            source: ANSWER for a report that this instance requested, PEER
                for one that a peer relayed.
        """
        if report.target_id != target.target_id:
            return
        current = self._current.get(target.target_id)
        if (
            source is Source.PEER
            and current is not None
            and current.report is not None
            and current.answered_s is not None
            and now_s - current.answered_s <= UNLISTED_GRACE_S
            and report.measured_at_s <= current.report.measured_at_s
        ):
            # A delayed datagram. Its load is stale, but a leaving state
            # still counts.
            if report.state is not model.TargetState.LIVE:
                self.record_leaving(
                    report.target_id, report.incarnation, now_s
                )
            return
        self.record_answer(
            attrs.evolve(target, incarnation=report.incarnation),
            report.state,
            sent_s,
            now_s,
            source,
        )
        entry = self._current.get(target.target_id)
        if (
            entry is not None
            and entry.target.incarnation == report.incarnation
            and (
                entry.report is None
                or entry.report.measured_at_s <= report.measured_at_s
            )
        ):
            if source is Source.PEER and entry.report is not None:
                # Peers relay the load only, not the models, adapters and
                # other properties.
                report = attrs.evolve(
                    entry.report,
                    state=report.state,
                    running=report.running,
                    waiting=report.waiting,
                    memory_used_tokens=report.memory_used_tokens,
                    memory_total_tokens=report.memory_total_tokens,
                    measured_at_s=report.measured_at_s,
                )
            entry.report = report

    def record_answer(
        self,
        target: model.Target,
        state: model.TargetState,
        sent_s: float,
        now_s: float,
        source: Source = Source.ANSWER,
    ) -> None:
        """Records a target's own answer that names its incarnation.

        An answer to a request that was sent before the current incarnation
        was adopted does not replace that incarnation by another.

        Args:
            target: The target, with the incarnation that answered.
            state: Whether the target accepts new work.
            sent_s: When the request was sent.
            now_s: The time.
            source: ANSWER for an answer to this instance, PEER for one that
                a peer relayed.
        """
        key = _key(target)
        if state is not model.TargetState.LIVE:
            self._mark_leaving(key, source, now_s)
        entry = self._current.get(target.target_id)
        if entry is None or entry.target.incarnation != target.incarnation:
            if key in self._replaced and source is not Source.ANSWER:
                return
            if entry is not None and sent_s < entry.adopted_s:
                return
            entry = self._adopt(target, source, now_s)
        entry.answered_s = max(sent_s, entry.answered_s or sent_s)
        if entry.gone:
            entry.gone = False
            self._notify(entry, source)

    def record_state(
        self, target: model.Target, state: model.TargetState, now_s: float
    ) -> None:
        """Records an answer that does not name its incarnation.

        Another incarnation may have replaced the one that the request was
        addressed to, so the answer never changes the current incarnation.

        Args:
            target: The target that the request was addressed to.
            state: Whether the target accepts new work.
            now_s: The time.
        """
        key = _key(target)
        if state is not model.TargetState.LIVE:
            self._mark_leaving(key, Source.ANSWER, now_s)
        entry = self._current.get(target.target_id)
        if entry is not None and _key(entry.target) == key:
            entry.answered_s = max(now_s, entry.answered_s or now_s)
            if entry.gone:
                entry.gone = False
                self._notify(entry, Source.ANSWER)

    def record_leaving(
        self, target_id: str, incarnation: int, now_s: float
    ) -> None:
        """Records that a peer reported an incarnation as leaving."""
        self._mark_leaving((target_id, incarnation), Source.PEER, now_s)

    def expire(self, now_s: float) -> None:
        """Drops targets that are neither listed nor answering.

        Records of old incarnations are dropped after their retention time.
        """
        for entry in list(self._current.values()):
            if entry.listed:
                continue
            last_s = max(
                entry.adopted_s,
                entry.answered_s or 0.0,
                entry.listed_s or 0.0,
            )
            if not entry.gone and now_s - last_s > UNLISTED_GRACE_S:
                entry.gone = True
                self._notify(entry, Source.LIST)
            if entry.gone and now_s - last_s > RETENTION_S:
                del self._current[entry.target.target_id]
        for key, (_, replaced_s) in list(self._replaced.items()):
            if now_s - replaced_s > RETENTION_S:
                del self._replaced[key]
        self._prune_leaving(now_s)

    def _update_current_from_list(
        self, key: tuple[str, int], target: model.Target, now_s: float
    ) -> bool:
        """Makes a gone listed incarnation present again.

        Returns:
            Whether the listed incarnation replaces the current one.
        """
        entry = self._current.get(target.target_id)
        if entry is None:
            return True
        if entry.target.incarnation == target.incarnation:
            if entry.gone:
                entry.gone = False
                self._notify(entry, Source.LIST)
            return False
        if key in self._replaced:
            return False
        address_changed = entry.target.base_url != target.base_url
        if address_changed and _key(entry.target) in self._leaving:
            return True
        answered = entry.report is not None and entry.answered_s is not None
        return not answered or now_s - entry.answered_s > ANSWER_PRECEDENCE_S

    def _adopt(
        self, target: model.Target, source: Source, now_s: float
    ) -> _Entry:
        old = self._current.get(target.target_id)
        if old is not None:
            self._replaced[_key(old.target)] = (old, now_s)
        self._replaced.pop(_key(target), None)
        entry = _Entry(target, now_s)
        self._current[target.target_id] = entry
        self._notify(entry, source)
        return entry

    def _mark_leaving(
        self, key: tuple[str, int], source: Source, now_s: float
    ) -> None:
        if key in self._leaving:
            return
        self._leaving[key] = _Leaving(source, now_s)
        entry = self._current.get(key[0])
        if entry is not None and _key(entry.target) == key:
            self._notify(entry, source)

    def _prune_leaving(self, now_s: float) -> None:
        known = {_key(entry.target) for entry in self._current.values()}
        unknown = [key for key in self._leaving if key not in known]
        excess = len(unknown) - UNKNOWN_LEAVING_MAX
        for position, key in enumerate(unknown):
            age_s = now_s - self._leaving[key].recorded_s
            if position < excess or age_s > RETENTION_S:
                del self._leaving[key]

    def _state(self, entry: _Entry) -> model.TargetState:
        if entry.gone:
            return model.TargetState.GONE
        if _key(entry.target) in self._leaving:
            return model.TargetState.LEAVING
        return model.TargetState.LIVE

    def _status(self, entry: _Entry) -> TargetStatus:
        leaving = self._leaving.get(_key(entry.target))
        return TargetStatus(
            entry.target,
            self._state(entry),
            entry.report,
            None if leaving is None else leaving.source,
        )

    def _notify(self, entry: _Entry, source: Source) -> None:
        change = Change(entry.target, self._state(entry), source)
        for subscriber in list(self._subscribers):
            subscriber(change)


def _key(target: model.Target) -> tuple[str, int]:
    return (target.target_id, target.incarnation)
