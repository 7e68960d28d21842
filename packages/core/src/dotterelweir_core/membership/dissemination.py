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

_INTEGER_END = 2**63
# Cursor from which a page has leaving targets only.
LEAVING_START = 't/'
# Rows considered for one page; the smallest ones take 18 bytes.
PAGE_ROWS = 64
# Always free for about two records, so that a death is told even while
# probes of suspects use up the budget.
UPDATES_BYTES = 150
# Leaving targets in one datagram when the budget is used up.
DEBT_BYTES = 600


def encodable(target_id: str, incarnation: int) -> bool:
    """Whether the names of a target fit into a datagram."""
    return (
        len(target_id.encode(errors='replace')) <= messages.NAME_MAX_BYTES
        and 0 <= incarnation < _INTEGER_END
    )


def _digest(news: messages.Leaving) -> int:
    return xxhash.xxh3_64_intdigest(
        f'{news.target_id}\0{news.incarnation}'.encode()
    )


class Dissemination:
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
        self.budget = broadcasts.Budget(
            options.rate_bytes_per_s, options.burst_bytes
        )
        self.updates = broadcasts.Broadcasts()

    @property
    def leaving(self) -> tuple[messages.Leaving, ...]:
        """Every leaving target that is known."""
        return tuple(self._leaving)

    def aged_leaving(
        self, news: Iterable[messages.Leaving], now_s: float
    ) -> tuple[messages.Leaving, ...]:
        """Known leaving targets with the age of the news."""
        return tuple(
            attrs.evolve(each, age_s=math.ceil(now_s - self._leaving[each]))
            for each in news
            if each in self._leaving
        )

    def add_leaving(self, news: messages.Leaving, now_s: float) -> bool:
        """Takes news of a leaving target; returns whether it was new."""
        if news in self._leaving or not encodable(
            news.target_id, news.incarnation
        ):
            return False
        if news.age_s >= self._options.retention_s:
            return False
        self._leaving[news] = now_s - news.age_s
        self.leaving_digest ^= _digest(news)
        self.leaving_changed_s = now_s
        if len(self._leaving) > self._options.leaving_max:
            oldest = min(self._leaving, key=self._leaving.__getitem__)
            self._drop_leaving(oldest)
            if oldest == news:
                return False
        self.updates.add(news)
        return True

    def _drop_leaving(self, news: messages.Leaving) -> None:
        del self._leaving[news]
        self.leaving_digest ^= _digest(news)

    def add_own_report(self, report: model.LoadReport, now_s: float) -> None:
        """Takes a report that this instance has read."""
        if encodable(report.target_id, report.incarnation):
            entry = (messages.compact(report), now_s)
            self._own_reports[report.target_id] = entry

    def add_peer_report(self, report: model.LoadReport, now_s: float) -> bool:
        """Takes a peer's report; returns whether it is newer."""
        for reports in (self._own_reports, self._peer_reports):
            known, _ = reports.get(report.target_id, (None, 0.0))
            if known and known.measured_at_s >= report.measured_at_s:
                return False
        self._peer_reports[report.target_id] = (report, now_s)
        return True

    def forget(self, now_s: float) -> None:
        """Drops what is too old to be told."""
        before_s = now_s - self._options.retention_s
        for news, learned_s in list(self._leaving.items()):
            if learned_s <= before_s:
                self._drop_leaving(news)
        before_s = now_s - self._options.report_age_s
        for reports in (self._own_reports, self._peer_reports):
            for name, (_, learned_s) in list(reports.items()):
                if learned_s < before_s:
                    del reports[name]

    def fill(
        self,
        datagram: messages.Datagram,
        first: list[messages.Member],
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
        size = messages.header_bytes(datagram)
        size += sum(messages.member_bytes(member) for member in first)
        available = self.budget.available(now_s)
        room = messages.DATAGRAM_MAX_BYTES - size
        # Leaving targets may run the budget into a debt of one burst, so
        # that a wave of restarts does not hold them up.
        in_debt = available <= -self._options.burst_bytes
        leaving_room = min(room, DEBT_BYTES) if in_debt else room
        limit = self._options.retransmissions * math.ceil(
            math.log10(live_count + 2)
        )
        members, leaving, used = self.updates.take(
            min(room, max(UPDATES_BYTES, available - size)),
            leaving_room,
            limit,
        )
        self.budget.spend(size + used)
        names = {member.member_id for member in first}
        return attrs.evolve(
            datagram,
            members=(
                *first,
                *(m for m in members if m.member_id not in names),
            ),
            leaving=self.aged_leaving(leaving, now_s),
        )

    def with_reports(
        self, datagram: messages.Datagram, now_s: float
    ) -> messages.Datagram | None:
        """Adds load reports, this instance's own first.

        Returns:
            The datagram, or None if there is no report.
        """
        chosen: list[model.LoadReport] = []
        size = messages.header_bytes(datagram)
        # Not part of the budget: under loss probes use that up, and one
        # datagram per period is bounded by itself.
        end = min(
            size + self._options.report_bytes, messages.DATAGRAM_MAX_BYTES
        )
        for reports in (self._own_reports, self._peer_reports):
            fresh = [
                report
                for report, learned_s in reports.values()
                if now_s - learned_s <= self._options.report_age_s
            ]
            self._rng.shuffle(fresh)
            for report in fresh:
                cost = messages.report_bytes(report)
                if size + cost > end:
                    break
                size += cost
                chosen.append(report)
        if not chosen:
            return None
        return attrs.evolve(datagram, reports=tuple(chosen))


def page(
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
            (f't/{news.target_id}/{news.incarnation}', news)
            for news in leaving
        ),
    ]
    items = [row for row in items if row[0] > cursor]
    # Sorting all rows for each page took most of the time of joining.
    rows = heapq.nsmallest(PAGE_ROWS, items, key=lambda row: row[0])
    chosen_members = []
    chosen_leaving = []
    size = messages.header_bytes(datagram) + 2 * messages.NAME_MAX_BYTES
    last = ''
    for key, item in rows:
        match item:
            case messages.Member():
                size += messages.member_bytes(item)
            case messages.Leaving():
                size += messages.leaving_bytes(item)
        if size > messages.DATAGRAM_MAX_BYTES:
            break
        last = key
        match item:
            case messages.Member():
                chosen_members.append(item)
            case messages.Leaving():
                chosen_leaving.append(item)
    else:
        last = last if len(items) > len(rows) else ''
    return attrs.evolve(
        datagram,
        cursor=last,
        members=tuple(chosen_members),
        leaving=tuple(chosen_leaving),
    )
