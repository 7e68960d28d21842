"""Exchange of loads, membership and records read between gateways.

Every instance sends its load to every other one soon after a change; in a
large deployment over relays, see ``broadcast``. Datagrams may be lost; the
next digest replaces them. Instances also share what they read from the store,
see ``following``.
"""

import asyncio
from collections.abc import Callable
import logging
import random
from typing import Any

import aiohttp
import attrs

from dotterelweir_core import events
from dotterelweir_core import timers
from dotterelweir_core.gateway import broadcast
from dotterelweir_core.gateway import contacts
from dotterelweir_core.gateway import load as gateway_load
from dotterelweir_core.gateway import retry_budget
from dotterelweir_core.gateway import service_queues
from dotterelweir_core.gateway import targets
from dotterelweird.gateway import api
from dotterelweird.gateway import digests
from dotterelweird.gateway import findings as finding_exchange
from dotterelweird.gateway import peer_state
from dotterelweird.gateway import peer_view
from dotterelweird.gateway import settings as gateway_settings
from dotterelweird.gateway import stream_api

LOG = logging.getLogger(__name__)

# Time for which changes of the load are coalesced into one digest, in seconds:
# far below the time of a prefill, so that other instances know of a request
# before they place the next one.
_COALESCE_S = 0.005
# Time between two digests without a change of the load, in seconds, in a small
# deployment. It grows with the number of peers once that exceeds
# _PEERS_PER_PERIOD, so that the traffic of an instance stays bounded.
_DIGEST_PERIOD_S = 0.5
_PEERS_PER_PERIOD = 8
# Periods without a digest after which a peer and its load are removed.
_SILENT_PERIODS = 4
# Time without a digest of a peer after which a digest with another start time
# is accepted even if that time is earlier, in seconds. Older datagrams have
# arrived by then, and a restart takes about this long.
_RESTART_S = 0.5
# Maximum number of peer addresses in a digest; they are drawn anew for each.
_KNOWN_HOSTS_MAX = 16
# Size above which a datagram is logged, in bytes; usual links fragment larger
# ones.
_DATAGRAM_BYTES_LOGGED = 1_400
# Maximum number of records in a datagram; a record has up to about 300 bytes.
_RECORDS_PER_DATAGRAM = 4
# Time for which an instance that has become silent may still serve its callers
# elsewhere in a divided network, in seconds: usually, and at an instance that
# hears nobody and has not read the roster in the store since.
_SILENCED_S = 60.0
_ALONE_SILENCED_S = 600.0
# Number of instances that may share the limits of targets with one that does
# not know how many there are.
_ASSUMED_INSTANCES = retry_budget.DEFAULT_INSTANCES
# Reason for the removal of a peer that sends no digests.
_SILENT = 'silent'
# Reason for the removal of a peer that said that it stops.
_LEAVING = 'leaving'

Reports = dict[api.StoreStream, stream_api.ReadReport]


@attrs.define
class Peer:
    """A reachable gateway instance other than this one.

    Attributes:
        member: Id, address and zone of the peer.
        last_digest_order: Start time in milliseconds and sequence number of
            its last digest.
        last_digest_s: Monotonic time of this digest, in seconds.
        takes_requests: Whether it sends requests of others, by this digest.
    """

    member: broadcast.Member
    last_digest_order: tuple[int, int]
    last_digest_s: float
    takes_requests: bool = True


class PeerExchange(asyncio.DatagramProtocol, stream_api.Peers):
    """Exchanges digests, records and departures with the other gateways.

    Args:
        settings: Settings of the process.
        timer_service: The timer service.
        rng: Random source.
        loads: Load of each target.
        budgets: Retry budgets of the services.
        session: HTTP client that fetches the state of a peer.
        apply_record_notice: Applies records of targets that a peer has read.
        apply_departure: Applies a departure that a peer reported.
        own_reports: Returns this instance's reports about the streams.
        handle_reports: Handles a peer's reports; called with its address.
        findings: Exchanges what one instance has found and all must know.
        queues: Queues of the generations that wait at this instance.
        takes_requests: Returns whether this instance sends requests of
            others.
    """

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        timer_service: timers.TimerService,
        rng: random.Random,
        loads: gateway_load.LoadRegistry,
        budgets: retry_budget.BudgetRegistry,
        session: aiohttp.ClientSession,
        apply_record_notice: Callable[[api.Batch], None],
        apply_departure: Callable[[targets.Departure], None],
        own_reports: Callable[[], Reports],
        handle_reports: Callable[[str, Reports], None],
        findings: finding_exchange.FindingExchange,
        queues: service_queues.ServiceQueues,
        takes_requests: Callable[[], bool] = lambda: True,
    ) -> None:
        self._settings = settings
        self._timers = timer_service
        self._rng = rng
        self._loads = loads
        self._budgets = budgets
        self._session = session
        self._apply_record_notice = apply_record_notice
        self._apply_departure = apply_departure
        self._own_reports = own_reports
        self._handle_reports = handle_reports
        self._findings = findings
        self._queues = queues
        self._takes_requests = takes_requests
        # Monotonic times at which instances became silent, in seconds.
        self._silenced_s: dict[str, float] = {}
        self._visible_peers: tuple[peer_view.Peer, ...] = ()
        self._view = peer_view.PeerView(is_informed=False)
        self._fleet_logged: dict[str, Any] = {}
        # Monotonic time of the newest read of the roster by which others
        # would find this instance, in seconds.
        self._roster_read_s = float('-inf')
        self._peers: dict[str, Peer] = {}
        self._broadcast_groups = broadcast.BroadcastGroups()
        # Every instance ever seen: one that is silent now may still serve its
        # callers and use its share of the retry budgets.
        self._ever_seen: set[str] = set()
        self._contacts = contacts.ContactBook(settings.callers.host)
        self._contacts.set_seeds(
            settings.seed_hosts, timer_service.monotonic_s()
        )
        self._started_ms = int(timer_service.wall_s() * 1000)
        self._sequence = 0
        self._last_broadcast_s = float('-inf')
        self._transport: asyncio.DatagramTransport | None = None
        self._load_digest_timer: timers.TimerHandle | None = None
        self._period_timer: timers.TimerHandle | None = None

    @property
    def period_s(self) -> float:
        """Time between digests without a change of the load, in seconds."""
        return _DIGEST_PERIOD_S * max(
            1.0, len(self._peers) / _PEERS_PER_PERIOD
        )

    @property
    def instance_count(self) -> int:
        """Number of reachable instances, including this one."""
        return len(self._peers) + 1

    @property
    def heard_ids(self) -> frozenset[str]:
        """Ids of the other instances that are reachable."""
        return frozenset(self._peers)

    @property
    def has_contacts(self) -> bool:
        """Whether there are addresses at which others may be heard."""
        return bool(self._contacts.hosts(self._timers.monotonic_s()))

    def view(self) -> peer_view.PeerView:
        """Returns the other instances for the coordination of limits."""
        return self._view

    def _update_view(self) -> None:
        now_s = self._timers.monotonic_s()
        self._silenced_s = {
            instance_id: silenced_s
            for instance_id, silenced_s in self._silenced_s.items()
            if now_s - silenced_s <= self._silenced_max_s(silenced_s)
        }
        silenced = len(self._silenced_s)
        unheard = self._contacts.unheard_count(now_s)
        is_informed = bool(self._ever_seen) or self._roster_read_s > float(
            '-inf'
        )
        count = self.instance_count + silenced + unheard
        if is_informed:
            instance_counts = self._budgets.instance_counts
            instance_counts.ever_seen = len(self._ever_seen) + 1 + unheard
            instance_counts.reachable = self.instance_count
        else:
            count = max(count, _ASSUMED_INSTANCES)
        self._view = peer_view.PeerView(
            self._visible_peers, self.instance_count / count, is_informed
        )
        self._log_fleet(is_informed, silenced, unheard)

    def _silenced_max_s(self, silenced_s: float) -> float:
        """Returns for how long a silent instance counts, in seconds.

        Args:
            silenced_s: Monotonic time at which it became silent, in seconds.
        """
        if self._peers or self._roster_read_s > silenced_s:
            return _SILENCED_S
        return _ALONE_SILENCED_S

    def _update_visible_peers(self) -> None:
        self._visible_peers = tuple(
            peer_view.Peer(
                instance_id,
                peer.member.host,
                peer.member.zone,
                peer.takes_requests,
            )
            for instance_id, peer in self._peers.items()
        )
        self._update_view()

    def _log_fleet(
        self, is_informed: bool, silenced: int, unheard: int
    ) -> None:
        known = {
            'informed': is_informed,
            'heard_any': bool(self._ever_seen),
            'roster_read': self._roster_read_s > float('-inf'),
            'silent': silenced,
            'unheard': unheard,
        }
        if known != self._fleet_logged:
            self._fleet_logged = known
            events.log(
                LOG,
                events.GATEWAY_FLEET_KNOWN,
                instances=self.instance_count,
                **known,
            )

    def record_roster_read(self, read_s: float) -> None:
        """Records a read of the roster by which others find this instance.

        Args:
            read_s: Monotonic time at which the read began, in seconds.
        """
        self._roster_read_s = read_s
        self._update_view()

    def set_seeds(self, hosts: tuple[str, ...]) -> None:
        """Replaces the addresses that the settings name.

        Args:
            hosts: IP addresses of the instances.
        """
        now_s = self._timers.monotonic_s()
        new = self._contacts.set_seeds(hosts, now_s)
        if not new:
            return
        events.log(LOG, events.GATEWAY_SEEDS_CHANGED, hosts=sorted(new))
        for host in new:
            if host in self._broadcast_groups.hosts:
                self._contacts.record_heard(host)
            else:
                self._greet(host)
        self._update_view()

    def contact(self, host: str) -> None:
        """Contacts an instance that the store names.

        Args:
            host: IP address of the instance.
        """
        if host in self._broadcast_groups.hosts:
            return
        is_new = self._contacts.add(host, self._timers.monotonic_s())
        if is_new:
            self._greet(host)
        self._update_view()

    def _greet(self, host: str) -> None:
        self._send_digest(host, self._digest(known_hosts=self._sample_hosts()))

    def status_rows(self) -> list[dict[str, Any]]:
        """Returns one row for each reachable peer, for the status document."""
        now_s = self._timers.monotonic_s()
        return [
            {
                'instance_id': peer.member.instance_id,
                'host': peer.member.host,
                'zone': peer.member.zone,
                'heard_ago_s': round(now_s - peer.last_digest_s, 3),
            }
            for peer in self._peers.values()
        ]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts sending digests."""
        self._transport = transport
        self._run_tick()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stops sending digests."""
        self._transport = None
        for handle in (self._period_timer, self._load_digest_timer):
            if handle is not None:
                handle.cancel()

    def error_received(self, exc: Exception) -> None:
        """Logs that a datagram could not be sent."""
        events.log(LOG, events.DATAGRAM_SEND_FAILED, reason=str(exc))

    def close(self) -> None:
        """Sends a last digest, marked as leaving, and closes the socket."""
        if self._transport is not None:
            self._broadcast(self._digest(leaving=True))
            self._transport.close()

    def schedule_digest(self) -> None:
        """Schedules a digest, as the load or a retry count has changed."""
        if self._load_digest_timer is None:
            self._load_digest_timer = self._timers.call_after(
                _COALESCE_S, self._send_loads
            )

    def send_reports(self) -> None:
        """Sends this instance's reports about the streams to the peers."""
        if self._transport is not None:
            self._broadcast(self._digest(reports=self._own_reports()))

    def send_record_notice(
        self, stream: api.StoreStream, records: list[api.Record], era: int
    ) -> None:
        """Sends records that were just read to the peers."""
        rest = tuple(records)
        while rest and self._transport is not None:
            part = rest[:_RECORDS_PER_DATAGRAM]
            rest = rest[_RECORDS_PER_DATAGRAM:]
            self._broadcast(digests.RecordNotice(part, era))

    def send_departure(self, departure: targets.Departure) -> None:
        """Sends a departure that a target announced to the peers."""
        if self._transport is not None:
            self._broadcast(digests.Departures((departure,)))

    def send_to_all(self, message: digests.Message) -> None:
        """Sends a message to all instances, if the socket is open."""
        if self._transport is not None:
            self._broadcast(message)

    def send_to(self, host: str, message: digests.Message) -> None:
        """Sends a message to one instance, if the socket is open.

        Args:
            host: IP address of the instance.
            message: The message.
        """
        self._send(host, self._encode(message))

    async def fetch_state(
        self, stream: api.StoreStream, host: str
    ) -> api.Batch:
        address = f'{host}:{self._settings.peers_port}'
        return await peer_state.fetch(self._session, address, stream)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handles a message of a peer and forwards it if it has a group."""
        try:
            group, data = digests.split_relay_header(data)
            message = digests.decode(data)
        except digests.DatagramInvalid as exc:
            events.log(
                LOG,
                events.DATAGRAM_DROPPED,
                sender=addr[0],
                reason=str(exc)[:80],
            )
            return
        if group is not None:
            self._forward(data, group, addr[0])
        match message:
            case digests.RecordNotice(records=records):
                self._apply_record_notice(
                    api.Batch(records, 0, era=message.era)
                )
            case digests.Departures(departures=departures):
                for departure in departures:
                    self._apply_departure(departure)
            case digests.Digest():
                self._handle_digest(message)
            case _:
                self._findings.handle(message, addr[0])

    def _forward(
        self, data: bytes, group: broadcast.Group, sender: str
    ) -> None:
        """Forwards a message to the other members of a group."""
        for member in self._broadcast_groups.group_members(
            self._settings.zone, group
        ):
            if member.host != sender:
                self._send(member.host, data)

    def _handle_digest(self, digest: digests.Digest) -> None:
        host = digest.host
        instance_id = digest.instance_id
        if instance_id == self._settings.instance_id:
            return
        order = (digest.started_ms, digest.sequence)
        peer = self._peers.get(instance_id)
        now_s = self._timers.monotonic_s()
        if (
            peer
            and order <= peer.last_digest_order
            and not self._has_restarted(peer, digest.started_ms, now_s)
        ):
            return
        if digest.leaving:
            self._remove_peer(instance_id, _LEAVING)
            return
        if peer is not None and peer.last_digest_order[0] != digest.started_ms:
            # The peer has restarted: discard the load and counts of its
            # previous start.
            self._loads.drop_peer(instance_id)
            self._budgets.drop_peer(instance_id)
        member = broadcast.Member(instance_id, host, digest.zone)
        self._peers[instance_id] = Peer(
            member, order, now_s, digest.takes_requests
        )
        self._broadcast_groups.add(member)
        self._loads.set_peer(instance_id, digest.loads, now_s)
        self._budgets.set_peer(instance_id, digest.counts, now_s)
        self._ever_seen.add(instance_id)
        self._queues.order.set_peer(instance_id, digest.waiting, now_s)
        self._contacts.record_heard(host)
        if peer is None or peer.member != member:
            self._silenced_s.pop(instance_id, None)
            self._update_visible_peers()
        elif peer.takes_requests != digest.takes_requests:
            self._update_visible_peers()
        if digest.known_hosts:
            self._contact_new_hosts(digest.known_hosts)
        if peer is None:
            self._handle_new_peer(instance_id, host)
        elif peer.last_digest_order[0] != digest.started_ms:
            self._findings.send_to_started(host, self.instance_count)
        if digest.reports:
            self._handle_reports(host, digest.reports)
        if digest.wants_findings:
            self._findings.send_requested(host)
        checksums = digest.checksums
        if checksums and self._findings.should_request(checksums):
            self._send_digest(host, self._digest(wants_findings=True))

    def _has_restarted(
        self, peer: Peer, started_ms: int, now_s: float
    ) -> bool:
        """Whether a digest that seems older belongs to a newer start.

        The wall clock of the peer may have stepped back before its restart.

        Args:
            peer: The peer as known so far.
            started_ms: Start time in the digest, in milliseconds.
            now_s: Monotonic time, in seconds.
        """
        is_other_start = started_ms != peer.last_digest_order[0]
        return is_other_start and now_s - peer.last_digest_s > _RESTART_S

    def _contact_new_hosts(self, hosts: tuple[str, ...]) -> None:
        """Sends a digest to instances that only a peer knew so far."""
        now_s = self._timers.monotonic_s()
        for host in set(hosts) - self._broadcast_groups.hosts:
            if self._contacts.add(host, now_s):
                self._greet(host)

    def _handle_new_peer(self, instance_id: str, host: str) -> None:
        self._log_change(instance_id, 'heard')
        self._send_digest(
            host,
            self._digest(
                known_hosts=self._sample_hosts(), reports=self._own_reports()
            ),
        )
        self._findings.send_to_started(host, self.instance_count)

    def _remove_peer(self, instance_id: str, reason: str) -> None:
        peer = self._peers.pop(instance_id, None)
        if peer is None:
            return
        self._broadcast_groups.remove(instance_id)
        now_s = self._timers.monotonic_s()
        if reason == _SILENT:
            self._silenced_s[instance_id] = now_s
        self._contacts.record_lost(
            peer.member.host, now_s, left=reason == _LEAVING
        )
        self._update_visible_peers()
        self._loads.drop_peer(instance_id)
        self._queues.order.drop_peer(instance_id)
        self._log_change(instance_id, reason)

    def _log_change(self, instance_id: str, state: str) -> None:
        events.log(
            LOG,
            events.GATEWAY_PEER_CHANGED,
            peer=instance_id,
            state=state,
            instances=self.instance_count,
        )

    def _run_tick(self) -> None:
        if self._transport is None:
            return
        # Scheduled first, so that an exception below does not end the ticks.
        self._period_timer = self._timers.call_after(
            self.period_s, self._run_tick
        )
        now_s = self._timers.monotonic_s()
        silence_max_s = _SILENT_PERIODS * self.period_s
        for instance_id, peer in list(self._peers.items()):
            if now_s - peer.last_digest_s > silence_max_s:
                self._remove_peer(instance_id, _SILENT)
        regular = self._digest(
            known_hosts=self._sample_hosts(),
            reports=self._own_reports(),
            checksums=self._findings.checksums(),
        )
        for host in self._contacts.hosts(now_s):
            self._send_digest(host, regular)
        self._update_view()
        if now_s - self._last_broadcast_s >= 0.9 * self.period_s:
            self._broadcast(regular)

    def _sample_hosts(self) -> tuple[str, ...]:
        hosts = sorted(self._broadcast_groups.hosts)
        return tuple(
            self._rng.sample(hosts, min(_KNOWN_HOSTS_MAX, len(hosts)))
        )

    def _send_loads(self) -> None:
        self._load_digest_timer = None
        if self._transport is not None:
            self._broadcast(self._digest())

    def _digest(
        self,
        known_hosts: tuple[str, ...] = (),
        reports: Reports | None = None,
        checksums: digests.FindingChecksums | None = None,
        wants_findings: bool = False,
        leaving: bool = False,
    ) -> digests.Digest:
        self._sequence += 1
        now_s = self._timers.monotonic_s()
        return digests.Digest(
            self._settings.instance_id,
            self._settings.callers.host,
            self._settings.zone,
            self._started_ms,
            self._sequence,
            self._loads.own_rows(now_s),
            self._budgets.own_counts(),
            reports or {},
            known_hosts,
            checksums,
            wants_findings,
            leaving,
            self._queues.own_state(now_s),
            self._takes_requests(),
        )

    def _broadcast(self, message: digests.Message) -> None:
        data = self._encode(message)
        self._last_broadcast_s = self._timers.monotonic_s()
        for hop in self._broadcast_groups.plan(self._rng):
            self._send(hop.host, digests.add_relay_header(data, hop.group))

    def _send_digest(self, host: str, digest: digests.Digest) -> None:
        self._send(host, self._encode(digest))

    def _send(self, host: str, data: bytes) -> None:
        if self._transport is not None:
            self._transport.sendto(data, (host, self._settings.peers_port))

    def _encode(self, message: digests.Message) -> bytes:
        data = digests.encode(message)
        if len(data) > _DATAGRAM_BYTES_LOGGED:
            events.log(LOG, events.DATAGRAM_OVERSIZED, size_bytes=len(data))
        return data
