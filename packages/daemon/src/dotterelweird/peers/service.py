"""Runs the membership protocol of this instance on the event loop."""

from collections.abc import Callable
from collections.abc import Iterable
import logging
import random

from aiohttp import web
import attrs

from dotterelweir_core import events
from dotterelweir_core import timers
from dotterelweir_core.membership import messages
from dotterelweir_core.membership import options as options_module
from dotterelweir_core.membership import state
from dotterelweir_core.targets import model
from dotterelweir_logservice import api as platform_api
from dotterelweird.peers import codec
from dotterelweird.peers import snapshots
from dotterelweird.peers import transport
from dotterelweird.settings import model as settings_model

LOG = logging.getLogger(__name__)

# Attempts to find a port number that is free for both UDP and TCP when the
# operating system chooses it.
PORT_ATTEMPTS = 10
# Time for snapshots that are being sent when the port closes. Peers read them
# elsewhere.
_SHUTDOWN_TIMEOUT_S = 0.1


@attrs.frozen
class PeerCallbacks:
    """Callbacks for data from peers.

    Attributes:
        on_target_leaving: Called with the name and the incarnation of a
            target that a peer reports as leaving.
        on_report: Called with a load report that a peer has polled.
        on_peer_ahead: Called with the configuration offset of a peer if it
            is above the offset of this instance.
        on_datagram_dropped: Called with the reason for dropping a datagram.
    """

    on_target_leaving: Callable[[str, int], None] = (
        lambda target_id, incarnation: None
    )
    on_report: Callable[[model.LoadReport], None] = lambda report: None
    on_peer_ahead: Callable[[int], None] = lambda offset: None
    on_datagram_dropped: Callable[[str], None] = lambda reason: None


class PeersService:
    """Runs the membership protocol and serves snapshots to peers."""

    def __init__(
        self,
        timer: timers.TimerService,
        rng: random.Random,
        settings: settings_model.Settings,
        query_snapshot: snapshots.SnapshotQuery,
        query_offset: Callable[[], int],
        callbacks: PeerCallbacks,
    ) -> None:
        """Prepares the service; ``start`` joins the group.

        Args:
            timer: Clock and timers.
            rng: Random source.
            settings: Settings of this instance.
            query_snapshot: Returns the snapshot that peers may fetch.
            query_offset: Returns the configuration offset up to which this
                instance has applied the log.
            callbacks: Callbacks for data from peers.
        """
        self._timer = timer
        self._rng = rng
        self._settings = settings
        self._query_offset = query_offset
        self._callbacks = callbacks
        # Increases at each start unless the clock was set back.
        self._boot = int(timer.wall_s() * 1000)
        keys = settings.peers.keys
        self._transport = transport.PeerTransport(
            timer,
            codec.Codec(keys),
            self._boot,
            self._receive,
            transport.DropLog(timer, callbacks.on_datagram_dropped),
        )
        self._server = snapshots.SnapshotServer(
            timer, keys, query_snapshot, query_offset
        )
        self._runner: web.AppRunner | None = None
        self._membership: state.Membership | None = None
        self._wakeup: timers.TimerHandle | None = None
        self._seeds = [
            options_module.Contact(seed.host, seed.port)
            for seed in settings.peers.seeds
        ]
        self._contacts = list(self._seeds)
        self.port = settings.peers.listen.port

    async def start(self) -> None:
        """Opens the ports and starts to join the group."""
        host = self._settings.peers.listen.host
        self._runner = web.AppRunner(
            self._server.app(),
            access_log=None,
            shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
        )
        await self._runner.setup()
        await self._open_ports(host)
        self._membership = state.Membership(
            messages.Member(
                self._settings.instance_id,
                self._settings.zone,
                host,
                self.port,
                self._boot,
            ),
            options_module.Options(period_s=self._settings.peers.period_s),
            self._rng,
            self._timer.monotonic_s(),
        )
        self._membership.set_contacts(self._contacts)
        self._schedule_tick()

    async def stop(self) -> None:
        """Leaves the group and closes the ports."""
        if self._membership is not None:
            self._apply_effects(
                self._membership.leave(self._timer.monotonic_s())
            )
        if self._wakeup is not None:
            self._wakeup.cancel()
        self._membership = None
        self._transport.close()
        if self._runner is not None:
            await self._runner.cleanup()

    # Queries.

    def live_instances(self, zone: str = '') -> tuple[str, ...]:
        """Returns the names of the live instances in a zone.

        Args:
            zone: Availability zone; empty for all zones.
        """
        if self._membership is None:
            return ()
        return self._membership.live_ids(zone)

    def members(self) -> tuple[messages.Member, ...]:
        """Returns the records of all other instances."""
        return () if self._membership is None else self._membership.members()

    def snapshot_candidates(self, min_offset: int) -> list[tuple[str, int]]:
        """Returns addresses of peers that may have a snapshot, best first.

        Args:
            min_offset: Lowest acceptable offset of the last record that the
                snapshot includes.

        Returns:
            Hosts and ports. If no peer is known to have this offset, all
            live members and contacts are returned.
        """
        if self._membership is None:
            return []
        members_ahead = self._membership.peers_ahead(min_offset - 1)
        if members_ahead:
            return [(member.host, member.port) for member in members_ahead]
        # Shortly after the start, offsets or members are not known yet.
        live = [
            (member.host, member.port)
            for member in self._membership.members()
            if member.state is messages.MemberState.ALIVE
        ]
        self._rng.shuffle(live)
        contacts = [(contact.host, contact.port) for contact in self._contacts]
        return list(dict.fromkeys(live + contacts))

    # Commands.

    def set_listed_instances(
        self, listed_instances: Iterable[platform_api.ListedInstance]
    ) -> None:
        """Sets the other live instances of the instance list as contacts.

        Args:
            listed_instances: Rows of entry instances. The port of a row is
                the peer port.
        """
        self._contacts = [
            options_module.Contact(
                listed.target.host, listed.target.port, listed.target.target_id
            )
            for listed in listed_instances
            if listed.state is model.TargetState.LIVE
            and listed.target.target_id != self._settings.instance_id
        ] + self._seeds
        if self._membership is not None:
            self._membership.set_contacts(self._contacts)

    def announce_leaving(self, target_id: str, incarnation: int) -> None:
        """Announces to peers that an incarnation of a target is leaving."""
        if self._membership is not None:
            self._membership.announce_leaving(
                target_id, incarnation, self._timer.monotonic_s()
            )
            self._schedule_tick()

    def announce_report(self, report: model.LoadReport) -> None:
        """Sends a load report to peers in the same zone."""
        if self._membership is not None:
            self._membership.announce_report(report, self._timer.monotonic_s())

    async def _open_ports(self, host: str) -> None:
        requested_port = self.port
        for attempt in range(PORT_ATTEMPTS):
            port = await self._transport.open(host, requested_port)
            try:
                await web.TCPSite(self._runner, host, port).start()
            except OSError:
                # The operating system chose a UDP port whose number is in
                # use for TCP.
                self._transport.close()
                if requested_port or attempt == PORT_ATTEMPTS - 1:
                    raise
            else:
                self.port = port
                return

    def _receive(
        self, datagram: messages.Datagram, host: str, port: int
    ) -> None:
        if self._membership is not None:
            self._membership.set_offset(self._query_offset())
            self._apply_effects(
                self._membership.receive(
                    datagram, host, port, self._timer.monotonic_s()
                )
            )

    def _tick(self) -> None:
        if self._membership is not None:
            self._membership.set_offset(self._query_offset())
            self._apply_effects(
                self._membership.tick(self._timer.monotonic_s())
            )

    def _apply_effects(self, effects: list[options_module.Effect]) -> None:
        for effect in effects:
            match effect:
                case options_module.Send(host, port, datagram):
                    self._transport.send(datagram, host, port)
                case options_module.MemberChanged(member):
                    events.log(
                        LOG,
                        events.MEMBER_STATE_CHANGED,
                        member_id=member.member_id,
                        incarnation=member.incarnation,
                        state=member.state.name.lower(),
                    )
                case options_module.TargetLeaving(target_id, incarnation):
                    self._callbacks.on_target_leaving(target_id, incarnation)
                case options_module.ReportReceived(report):
                    self._callbacks.on_report(report)
                case options_module.PeerAhead(_, offset):
                    self._callbacks.on_peer_ahead(offset)
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        if self._wakeup is not None:
            self._wakeup.cancel()
            self._wakeup = None
        if self._membership is None or self._membership.own_member.state:
            return
        delay_s = self._membership.next_wakeup_s() - self._timer.monotonic_s()
        self._wakeup = self._timer.call_after(max(0.0, delay_s), self._tick)
