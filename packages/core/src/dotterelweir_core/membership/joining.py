"""Joining and rejoining: contacts, dead members, pages of the full state."""

from collections.abc import Iterable
import math

from dotterelweir_core.membership import dissemination
from dotterelweir_core.membership import messages
from dotterelweir_core.membership import options as options_module
from dotterelweir_core.membership import protocol_state as state_module

Kind = messages.Kind

# Contacts that are probed in one period while joining.
CONTACTS_PER_PERIOD = 3
# Joining lasts at least this long, and until half of the contacts are live.
JOIN_PERIODS = 60.0
# Passes over the full state that find no new member before pages are
# requested less often; one is too few when a whole group starts at once.
UNCHANGED_PASSES = 2
# Dead members are probed once per period for this long after one of them was
# found alive, because a partition has probably healed then.
HEALING_PERIODS = 20.0

# Digests of the leaving notices are compared only this long after the last
# notice arrived, so that notices still on their way are not fetched.
LEAVING_SETTLE_S = 0.3
# Minimum time between two fetches of leaving notices, in seconds.
LEAVING_FETCH_INTERVAL_S = 0.5
# Probe id that marks the pages of such a fetch; pages of a pass over the full
# state have 0.
LEAVING_FETCH_ID = 1


class Joiner:
    """Joins the group, and rejoins its parts after a partition.

    Probes contacts that are not members yet and dead members, and reads the
    full state of random members page by page (anti-entropy).

    Args:
        protocol_state: State that the parts of the protocol share.
        now_s: The time.
    """

    def __init__(
        self, protocol_state: state_module.ProtocolState, now_s: float
    ) -> None:
        self._protocol_state = protocol_state
        self._options = protocol_state.options
        self._contacts: tuple[options_module.Contact, ...] = ()
        self._probe_due_s = now_s + protocol_state.rng.uniform(
            0.0, self._options.period_s
        )
        self._page_interval_s = self._options.join_sync_period_s
        self._page_due_s = now_s
        self._cursor = ''
        self._fetch_after_s = now_s
        self._known_count = 0
        self._unchanged_passes = 0
        self._join_end_s = now_s + JOIN_PERIODS * self._options.period_s
        self._healed_s: float | None = None

    @property
    def due_s(self) -> float:
        """When ``advance`` has to run next."""
        return min(self._probe_due_s, self._page_due_s)

    def set_contacts(self, contacts: Iterable[options_module.Contact]) -> None:
        """Sets the addresses to probe for peers, without the own one."""
        own = self._protocol_state.own_member
        self._contacts = tuple(
            contact
            for contact in contacts
            if contact.member_id != own.member_id
            and (contact.host, contact.port) != (own.host, own.port)
        )

    def advance(self, now_s: float) -> None:
        """Sends the probes and requests for pages that are due."""
        if self._protocol_state.healed_s != self._healed_s:
            self._start_healing(now_s)
        if self._probe_due_s <= now_s:
            self._probe_missing(now_s)
        if self._page_due_s <= now_s:
            self._page_due_s = now_s + self._page_interval_s
            for member in self._protocol_state.table.sample(
                self._protocol_state.rng, 1
            ):
                self._protocol_state.send(
                    member, Kind.SYNC_REQUEST, now_s, cursor=self._cursor
                )

    def reconcile_leaving(
        self,
        datagram: messages.Datagram,
        contact: options_module.Contact,
        now_s: float,
    ) -> None:
        """Fetches the leaving notices of a peer whose digest differs.

        Recovers notices that did not arrive, because the number of sends is
        bounded and datagrams are lost, or because a wave of notices exceeded
        the budget.

        Args:
            datagram: A datagram of the peer.
            contact: Address of the peer.
            now_s: The time.
        """
        disseminator = self._protocol_state.disseminator
        if (
            datagram.leaving_digest != disseminator.leaving_digest
            and now_s - disseminator.leaving_changed_s >= LEAVING_SETTLE_S
            and now_s >= self._fetch_after_s
        ):
            self._fetch_after_s = now_s + LEAVING_FETCH_INTERVAL_S
            self._fetch_leaving(
                contact, dissemination.LEAVING_START_CURSOR, now_s
            )

    def _fetch_leaving(
        self, contact: options_module.Contact, cursor: str, now_s: float
    ) -> None:
        self._protocol_state.send_to(
            contact,
            0,
            Kind.SYNC_REQUEST,
            now_s,
            cursor=cursor,
            probe_id=LEAVING_FETCH_ID,
        )

    def stop(self) -> None:
        """Stops probes and requests for pages."""
        self._probe_due_s = self._page_due_s = math.inf

    def serve_page(
        self,
        datagram: messages.Datagram,
        contact: options_module.Contact,
        now_s: float,
    ) -> None:
        """Sends the requested page of the full state.

        Args:
            datagram: The SYNC_REQUEST.
            contact: Address of its sender.
            now_s: The time.
        """
        protocol_state = self._protocol_state
        page = dissemination.build_page(
            protocol_state.empty_datagram(
                Kind.SYNC, probe_id=datagram.probe_id
            ),
            [*protocol_state.table.all(), protocol_state.own_member],
            protocol_state.disseminator.leaving_with_age(
                protocol_state.disseminator.leaving, now_s
            ),
            datagram.cursor,
        )
        protocol_state.effects.append(
            options_module.Send(contact.host, contact.port, page)
        )

    def handle_page(
        self,
        datagram: messages.Datagram,
        contact: options_module.Contact,
        now_s: float,
    ) -> None:
        """Updates the cursor after a page was received.

        The next page of a fetch of leaving notices is requested at once. At
        the end of a pass over the full state, the interval between pages
        rises if the last passes found no new member.

        Args:
            datagram: The SYNC datagram; its records are already merged.
            contact: Address of its sender.
            now_s: The time.
        """
        if datagram.probe_id == LEAVING_FETCH_ID:
            if datagram.cursor:
                self._fetch_leaving(contact, datagram.cursor, now_s)
            return
        self._cursor = datagram.cursor
        if datagram.cursor:
            return
        count = len(self._protocol_state.table.all())
        # A pass that found new members does not end joining, because the
        # peers may be joining as well.
        self._unchanged_passes = (
            0 if count > self._known_count else self._unchanged_passes + 1
        )
        self._known_count = count
        if self._unchanged_passes >= UNCHANGED_PASSES:
            self._unchanged_passes = 0
            self._page_interval_s = self._options.sync_period_s
            self._page_due_s = now_s + self._page_interval_s

    def _start_healing(self, now_s: float) -> None:
        period_s = self._options.period_s
        self._healed_s = self._protocol_state.healed_s
        self._page_interval_s = min(self._page_interval_s, period_s)
        self._page_due_s = min(self._page_due_s, now_s + period_s)
        self._probe_due_s = min(self._probe_due_s, now_s + period_s)

    def _probe_missing(self, now_s: float) -> None:
        protocol_state = self._protocol_state
        period_s = self._options.period_s
        dead = protocol_state.table.dead()
        if dead:
            protocol_state.send(
                protocol_state.table.get(protocol_state.rng.choice(dead)),
                Kind.PING,
                now_s,
                probe_id=protocol_state.next_probe_id(),
            )
        known_addresses = {
            (m.host, m.port) for m in protocol_state.table.all()
        }
        known_ids = {m.member_id for m in protocol_state.table.all()}
        unknown_contacts = [
            contact
            for contact in self._contacts
            if contact.member_id not in known_ids
            and (contact.host, contact.port) not in known_addresses
        ]
        few_live = len(protocol_state.table.live()) * 2 < len(self._contacts)
        joining = few_live or now_s < self._join_end_s
        count = CONTACTS_PER_PERIOD if joining else 1
        for contact in protocol_state.rng.sample(
            unknown_contacts, min(count, len(unknown_contacts))
        ):
            protocol_state.send_to(
                contact,
                0,
                Kind.PING,
                now_s,
                include_own=True,
                probe_id=protocol_state.next_probe_id(),
            )
        healing = (
            self._healed_s is not None
            and now_s - self._healed_s < HEALING_PERIODS * period_s
        )
        fast = (joining and unknown_contacts) or (healing and dead)
        self._probe_due_s = now_s + (
            period_s if fast else self._options.rejoin_period_s
        )
