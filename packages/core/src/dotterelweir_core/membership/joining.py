"""Finding peers: contacts, dead members and pages of the full state."""

from collections.abc import Iterable
import math

from dotterelweir_core.membership import dissemination
from dotterelweir_core.membership import messages
from dotterelweir_core.membership import node as node_module
from dotterelweir_core.membership import options as options_module

Kind = messages.Kind

# Contacts that are tried in one period while joining.
JOIN_CONTACTS = 3
JOIN_PERIODS = 60.0
# Walks over the full state that find nothing new before joining ends; one
# is too few when a whole group starts at once.
FRUITLESS_WALKS = 2
# Dead members are tried once per period for this long after one of them was
# found alive, because then a partition has probably healed.
HEALING_PERIODS = 20.0

# Leaving targets are compared this long after the last one was learned, so
# that news on its way is not fetched, and fetched once in the second time.
LEAVING_SETTLE_S = 0.3
LEAVING_FETCH_S = 0.5
# Marks the pages of such a fetch; those of a walk have 0.
FETCH_ID = 1


class Joiner:
    """Joins the group and joins its parts again after a partition."""

    def __init__(self, node: node_module.Node, now_s: float) -> None:
        self._node = node
        self._options = node.options
        self._contacts: tuple[options_module.Contact, ...] = ()
        self._try_due_s = now_s + node.rng.uniform(0.0, self._options.period_s)
        self._pace_s = self._options.join_pace_s
        self._page_due_s = now_s
        self._cursor = ''
        self._fetch_after_s = now_s
        self._known = 0
        self._fruitless = 0
        self._join_end_s = now_s + JOIN_PERIODS * self._options.period_s
        self._healed_s: float | None = None

    @property
    def due_s(self) -> float:
        """When ``advance`` has something to do."""
        return min(self._try_due_s, self._page_due_s)

    def set_contacts(self, contacts: Iterable[options_module.Contact]) -> None:
        """Sets the addresses where peers may be."""
        own = self._node.own
        self._contacts = tuple(
            contact
            for contact in contacts
            if contact.member_id != own.member_id
            and (contact.host, contact.port) != (own.host, own.port)
        )

    def advance(self, now_s: float) -> None:
        """Does what is due."""
        if self._node.healed_s != self._healed_s:
            self._start_healing(now_s)
        if self._try_due_s <= now_s:
            self._try_lost(now_s)
        if self._page_due_s <= now_s:
            self._page_due_s = now_s + self._pace_s
            for member in self._node.table.sample(self._node.rng, 1):
                self._node.send(
                    member, Kind.SYNC_REQUEST, now_s, cursor=self._cursor
                )

    def compare_leaving(
        self,
        datagram: messages.Datagram,
        contact: options_module.Contact,
        now_s: float,
    ) -> None:
        """Fetches leaving targets from a peer that knows other ones.

        Closes the gaps that a bounded number of sends leaves under loss,
        and a wave of leaving targets that exceeds the budget.
        """
        told = self._node.told
        if (
            datagram.leaving_digest != told.leaving_digest
            and now_s - told.leaving_changed_s >= LEAVING_SETTLE_S
            and now_s >= self._fetch_after_s
        ):
            self._fetch_after_s = now_s + LEAVING_FETCH_S
            self._fetch(contact, dissemination.LEAVING_START, now_s)

    def _fetch(
        self, contact: options_module.Contact, cursor: str, now_s: float
    ) -> None:
        self._node.send_to(
            contact,
            0,
            Kind.SYNC_REQUEST,
            now_s,
            cursor=cursor,
            probe_id=FETCH_ID,
        )

    def stop(self) -> None:
        """Ends all further requests."""
        self._try_due_s = self._page_due_s = math.inf

    def serve_page(
        self,
        datagram: messages.Datagram,
        contact: options_module.Contact,
        now_s: float,
    ) -> None:
        """Answers a request for a page of the full state."""
        node = self._node
        page = dissemination.page(
            node.header(Kind.SYNC, probe_id=datagram.probe_id),
            [*node.table.all(), node.own],
            node.told.aged_leaving(node.told.leaving, now_s),
            datagram.cursor,
        )
        node.effects.append(
            options_module.Send(contact.host, contact.port, page)
        )

    def take_page(
        self,
        datagram: messages.Datagram,
        contact: options_module.Contact,
        now_s: float,
    ) -> None:
        """Notes where the next page starts, or asks for it at once."""
        if datagram.probe_id == FETCH_ID:
            if datagram.cursor:
                self._fetch(contact, datagram.cursor, now_s)
            return
        self._cursor = datagram.cursor
        if datagram.cursor:
            return
        count = len(self._node.table.all())
        # More walks follow one that found members, because the peers may be
        # joining as well.
        self._fruitless = 0 if count > self._known else self._fruitless + 1
        self._known = count
        if self._fruitless >= FRUITLESS_WALKS:
            self._fruitless = 0
            self._pace_s = self._options.sync_period_s
            self._page_due_s = now_s + self._pace_s

    def _start_healing(self, now_s: float) -> None:
        period_s = self._options.period_s
        self._healed_s = self._node.healed_s
        self._pace_s = min(self._pace_s, period_s)
        self._page_due_s = min(self._page_due_s, now_s + period_s)
        self._try_due_s = min(self._try_due_s, now_s + period_s)

    def _try_lost(self, now_s: float) -> None:
        node = self._node
        period_s = self._options.period_s
        dead = node.table.dead()
        if dead:
            node.send(
                node.table.get(node.rng.choice(dead)),
                Kind.PING,
                now_s,
                probe_id=node.next_probe_id(),
            )
        known = {(m.host, m.port) for m in node.table.all()}
        names = {m.member_id for m in node.table.all()}
        unmet = [
            contact
            for contact in self._contacts
            if contact.member_id not in names
            and (contact.host, contact.port) not in known
        ]
        few = len(node.table.usable()) * 2 < len(self._contacts)
        joining = few or now_s < self._join_end_s
        count = JOIN_CONTACTS if joining else 1
        for contact in node.rng.sample(unmet, min(count, len(unmet))):
            node.send_to(
                contact,
                0,
                Kind.PING,
                now_s,
                introduce=True,
                probe_id=node.next_probe_id(),
            )
        healing = (
            self._healed_s is not None
            and now_s - self._healed_s < HEALING_PERIODS * period_s
        )
        fast = (joining and unmet) or (healing and dead)
        self._try_due_s = now_s + (
            period_s if fast else self._options.rejoin_period_s
        )
