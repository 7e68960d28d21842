"""What is told to peers: updates, leaving targets and load reports."""

from collections.abc import Iterable
import heapq
import math
import random

import attrs
import xxhash

from dotterelweir_core.membership import broadcasts
from dotterelweir_core.membership import messages
from dotterelweir_core.membership import options as options_module
from dotterelweir_core.targets import model

_INCARNATION_END = 2**63
# Cursor from which a page has leaving targets only.
LEAVING_START_CURSOR = 't/'
# Rows considered for one page; the smallest ones take 18 bytes.
PAGE_ITEMS_MAX = 64
# Always free for about two records, so that a death is told even while
# probes of suspects use up the budget.
UPDATES_MIN_BYTES = 150
# Leaving targets in one datagram when the budget is used up.
OVERDRAWN_LEAVING_BYTES = 600


def encodable(target_id: str, incarnation: int) -> bool:
    """Whether the names of a target fit into a datagram."""
    return (
        len(target_id.encode(errors='replace')) <= messages.NAME_MAX_BYTES
        and 0 <= incarnation < _INCARNATION_END
    )


def _digest(notice: messages.Leaving) -> int:
    return xxhash.xxh3_64_intdigest(
        f'{notice.target_id}\0{notice.incarnation}'.encode()
    )


class Disseminator:
    """Chooses the payload of each datagram within the budget."""

    def __init__(
        self, options: options_module.Options, rng: random.Random
    ) -> None:
        self._options = options
        self._rng = rng
        self._leaving: dict[messages.Leaving, float] = {}
        self.leaving_digest = 0
        self.leaving_changed_s = 0.0
        self._own_reports: dict[str, tuple[model.LoadReport, float]] = {}
        self._peer_reports: dict[str, tuple[model.LoadReport, float]] = {}
        self.budget = broadcasts.TokenBucket(
            options.rate_bytes_per_s, options.burst_bytes
        )
        self.updates = broadcasts.BroadcastQueue()

    @property
    def leaving(self) -> tuple[messages.Leaving, ...]:
        """Every leaving target that is known."""
        return tuple(self._leaving)

    def leaving_with_age(
        self, notices: Iterable[messages.Leaving], now_s: float
    ) -> tuple[messages.Leaving, ...]:
        """Known leaving targets with the age of the news."""
        return tuple(
            attrs.evolve(
                notice, age_s=math.ceil(now_s - self._leaving[notice])
            )
            for notice in notices
            if notice in self._leaving
        )

    def add_leaving(self, notice: messages.Leaving, now_s: float) -> bool:
        """Takes news of a leaving target; returns whether it was new."""
        if notice in self._leaving or not encodable(
            notice.target_id, notice.incarnation
        ):
            return False
        if notice.age_s >= self._options.retention_s:
            return False
        self._leaving[notice] = now_s - notice.age_s
        self.leaving_digest ^= _digest(notice)
        self.leaving_changed_s = now_s
        if len(self._leaving) > self._options.leaving_max:
            oldest = min(self._leaving, key=self._leaving.__getitem__)
            self._drop_leaving(oldest)
            if oldest == notice:
                return False
        self.updates.add(notice)
        return True

    def _drop_leaving(self, notice: messages.Leaving) -> None:
        del self._leaving[notice]
        self.leaving_digest ^= _digest(notice)

    def add_own_report(self, report: model.LoadReport, now_s: float) -> None:
        """Takes a report that this instance has read."""
        if encodable(report.target_id, report.incarnation):
            entry = (messages.compact_report(report), now_s)
            self._own_reports[report.target_id] = entry

    def add_peer_report(self, report: model.LoadReport, now_s: float) -> bool:
        """Takes a peer's report; returns whether it is newer."""
        for reports in (self._own_reports, self._peer_reports):
            known, _ = reports.get(report.target_id, (None, 0.0))
            if known and known.measured_at_s >= report.measured_at_s:
                return False
        self._peer_reports[report.target_id] = (report, now_s)
        return True

    def drop_expired(self, now_s: float) -> None:
        """Drops what is too old to be told."""
        before_s = now_s - self._options.retention_s
        for notice, learned_s in list(self._leaving.items()):
            if learned_s <= before_s:
                self._drop_leaving(notice)
        before_s = now_s - self._options.report_age_s
        for reports in (self._own_reports, self._peer_reports):
            for name, (_, learned_s) in list(reports.items()):
                if learned_s < before_s:
                    del reports[name]

    def with_updates(
        self,
        datagram: messages.Datagram,
        required: list[messages.Member],
        live_count: int,
        now_s: float,
    ) -> messages.Datagram:
        """Adds records that must go along, then queued updates.

        Args:
            datagram: The datagram, whose lists are replaced.
            first: Records that go along whatever the budget.
            live_count: Number of live members.
            now_s: The time.
        """
        size_bytes = messages.header_bytes(datagram)
        size_bytes += sum(messages.member_bytes(member) for member in required)
        available_bytes = self.budget.available(now_s)
        remaining_bytes = messages.DATAGRAM_MAX_BYTES - size_bytes
        # Leaving targets may run the budget into a debt of one burst, so
        # that a wave of restarts does not hold them up.
        overdrawn = available_bytes <= -self._options.burst_bytes
        leaving_limit_bytes = (
            min(remaining_bytes, OVERDRAWN_LEAVING_BYTES)
            if overdrawn
            else remaining_bytes
        )
        send_limit = self._options.retransmit_multiplier * math.ceil(
            math.log10(live_count + 2)
        )
        members, leaving, used_bytes = self.updates.take(
            min(
                remaining_bytes,
                max(UPDATES_MIN_BYTES, available_bytes - size_bytes),
            ),
            leaving_limit_bytes,
            send_limit,
        )
        self.budget.spend(size_bytes + used_bytes)
        required_ids = {member.member_id for member in required}
        return attrs.evolve(
            datagram,
            members=(
                *required,
                *(m for m in members if m.member_id not in required_ids),
            ),
            leaving=self.leaving_with_age(leaving, now_s),
        )

    def with_reports(
        self, datagram: messages.Datagram, now_s: float
    ) -> messages.Datagram | None:
        """Adds load reports, this instance's own first.

        Returns:
            The datagram, or None if there is no report.
        """
        chosen: list[model.LoadReport] = []
        size_bytes = messages.header_bytes(datagram)
        # Not part of the budget: under loss probes use that up, and one
        # datagram per period is bounded by itself.
        size_limit_bytes = min(
            size_bytes + self._options.report_bytes,
            messages.DATAGRAM_MAX_BYTES,
        )
        for reports in (self._own_reports, self._peer_reports):
            fresh = [
                report
                for report, learned_s in reports.values()
                if now_s - learned_s <= self._options.report_age_s
            ]
            self._rng.shuffle(fresh)
            for report in fresh:
                report_size_bytes = messages.report_bytes(report)
                if size_bytes + report_size_bytes > size_limit_bytes:
                    break
                size_bytes += report_size_bytes
                chosen.append(report)
        if not chosen:
            return None
        return attrs.evolve(datagram, reports=tuple(chosen))


def build_page(
    datagram: messages.Datagram,
    members: list[messages.Member],
    leaving: tuple[messages.Leaving, ...],
    cursor: str,
) -> messages.Datagram:
    """Fills one page of the full state.

    Args:
        datagram: The datagram, whose lists and cursor are replaced.
        members: All records.
        leaving: All leaving targets.
        cursor: Last item of the page before; empty for the first page.
    """
    items: list[tuple[str, messages.Member | messages.Leaving]] = [
        *((f'm/{member.member_id}', member) for member in members),
        *(
            (f't/{notice.target_id}/{notice.incarnation}', notice)
            for notice in leaving
        ),
    ]
    items = [candidate for candidate in items if candidate[0] > cursor]
    # Sorting all rows for each page took most of the time of joining.
    candidates = heapq.nsmallest(
        PAGE_ITEMS_MAX, items, key=lambda candidate: candidate[0]
    )
    chosen_members = []
    chosen_leaving = []
    size_bytes = messages.header_bytes(datagram) + 2 * messages.NAME_MAX_BYTES
    next_cursor = ''
    for key, item in candidates:
        match item:
            case messages.Member():
                size_bytes += messages.member_bytes(item)
            case messages.Leaving():
                size_bytes += messages.leaving_bytes(item)
        if size_bytes > messages.DATAGRAM_MAX_BYTES:
            break
        next_cursor = key
        match item:
            case messages.Member():
                chosen_members.append(item)
            case messages.Leaving():
                chosen_leaving.append(item)
    else:
        next_cursor = next_cursor if len(items) > len(candidates) else ''
    return attrs.evolve(
        datagram,
        cursor=next_cursor,
        members=tuple(chosen_members),
        leaving=tuple(chosen_leaving),
    )
