"""Selection of what datagrams carry: updates, notices and load reports."""

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
# A page that starts at this cursor contains leaving notices only.
LEAVING_START_CURSOR = 't/'
# Items considered for one page; the smallest ones take 18 bytes.
PAGE_ITEMS_MAX = 64
# Reserved for updates in each datagram, enough for about two records, so that
# a death spreads even while probes of suspects use up the budget.
UPDATES_MIN_BYTES = 150
# Limit of the leaving notices in one datagram while the budget is overdrawn by
# a whole burst.
OVERDRAWN_LEAVING_BYTES = 600


def encodable(target_id: str, incarnation: int) -> bool:
    """Whether the name and incarnation of a target fit into a datagram."""
    return (
        len(target_id.encode(errors='replace')) <= messages.NAME_MAX_BYTES
        and 0 <= incarnation < _INCARNATION_END
    )


def _digest(notice: messages.Leaving) -> int:
    return xxhash.xxh3_64_intdigest(
        f'{notice.target_id}\0{notice.incarnation}'.encode()
    )


class Disseminator:
    """Selects the payload of each datagram within the send budget.

    Args:
        options: Parameters of the protocol.
        rng: Random source.

    Attributes:
        leaving_digest: Digest of all known leaving notices; independent of
            their order.
        leaving_changed_s: When a leaving notice was last added.
        budget: Token bucket for all datagrams except load reports.
        updates: Updates that wait to be sent.
    """

    def __init__(
        self, options: options_module.Options, rng: random.Random
    ) -> None:
        self._options = options
        self._rng = rng
        # When the first instance learned of each leaving target.
        self._leaving: dict[messages.Leaving, float] = {}
        self.leaving_digest = 0
        self.leaving_changed_s = 0.0
        # Each report with the time at which it was read or received.
        self._own_reports: dict[str, tuple[model.LoadReport, float]] = {}
        self._peer_reports: dict[str, tuple[model.LoadReport, float]] = {}
        self.budget = broadcasts.TokenBucket(
            options.rate_bytes_per_s, options.burst_bytes
        )
        self.updates = broadcasts.UpdateQueue()

    @property
    def leaving(self) -> tuple[messages.Leaving, ...]:
        """All known leaving notices."""
        return tuple(self._leaving)

    def leaving_with_age(
        self, notices: Iterable[messages.Leaving], now_s: float
    ) -> tuple[messages.Leaving, ...]:
        """Sets the current age of leaving notices.

        Args:
            notices: Leaving notices; those no longer known are left out.
            now_s: The time.
        """
        return tuple(
            attrs.evolve(
                notice, age_s=math.ceil(now_s - self._leaving[notice])
            )
            for notice in notices
            if notice in self._leaving
        )

    def add_leaving(self, notice: messages.Leaving, now_s: float) -> bool:
        """Stores a leaving notice and queues it for sending.

        Args:
            notice: The notice.
            now_s: The time.

        Returns:
            Whether it was stored; False if it is known, too old or too large.
        """
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
        """Stores a load report that this instance read from a target."""
        if encodable(report.target_id, report.incarnation):
            entry = (messages.compact_report(report), now_s)
            self._own_reports[report.target_id] = entry

    def add_peer_report(self, report: model.LoadReport, now_s: float) -> bool:
        """Stores a load report from a peer, unless a newer one is known.

        Returns:
            Whether it was stored.
        """
        for reports in (self._own_reports, self._peer_reports):
            known, _ = reports.get(report.target_id, (None, 0.0))
            if known and known.measured_at_s >= report.measured_at_s:
                return False
        self._peer_reports[report.target_id] = (report, now_s)
        return True

    def drop_expired(self, now_s: float) -> None:
        """Drops leaving notices and load reports that are too old to send."""
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
        """Adds required records and then queued updates to a datagram.

        Args:
            datagram: The datagram; its lists are replaced.
            required: Records that are added whatever the budget.
            live_count: Number of live members, which determines how often
                each update is sent.
            now_s: The time.
        """
        size_bytes = messages.header_bytes(datagram)
        size_bytes += sum(messages.member_bytes(member) for member in required)
        available_bytes = self.budget.available(now_s)
        remaining_bytes = messages.DATAGRAM_MAX_BYTES - size_bytes
        # Leaving notices may overdraw the budget by one burst, so that a wave
        # of restarts does not delay them.
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
        """Adds load reports to a datagram, those read by this instance first.

        Args:
            datagram: The datagram; its reports are replaced.
            now_s: The time.

        Returns:
            The datagram, or None if there is no recent report.
        """
        chosen: list[model.LoadReport] = []
        size_bytes = messages.header_bytes(datagram)
        # Not charged to the budget: under loss, probes use it up, and one
        # datagram per period is a bound in itself.
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
    """Builds one page of the full state.

    Args:
        datagram: The datagram; its lists and cursor are replaced.
        members: All member records.
        leaving: All leaving notices.
        cursor: Last item of the previous page; empty for the first page.

    Returns:
        The datagram; its cursor is empty if this is the last page.
    """
    items: list[tuple[str, messages.Member | messages.Leaving]] = [
        *((f'm/{member.member_id}', member) for member in members),
        *(
            (f't/{notice.target_id}/{notice.incarnation}', notice)
            for notice in leaving
        ),
    ]
    items = [candidate for candidate in items if candidate[0] > cursor]
    # Sorting all items for each page would take most of the time of joining.
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
