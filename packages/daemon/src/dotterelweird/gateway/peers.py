"""Exchange between gateways: loads, membership and news of targets.

Every instance sends its load digest to every other one: soon after it
changed, and regularly. Datagrams may be lost; the next digest replaces them.
JSON serves here instead of the peers' Cap'n Proto schema: that library costs
each process several megabytes and start-up time, and digests are small.
"""

import asyncio
import base64
from collections.abc import Callable
import logging
from typing import Any

import attrs
import orjson

from dotterelweir_core import events
from dotterelweir_core import timers
from dotterelweir_core.gateway import load as gateway_load
from dotterelweird.gateway import api
from dotterelweird.gateway import settings as gateway_settings

LOG = logging.getLogger(__name__)

# Time for which changes of the load are collected, in seconds: about one
# decoding step of a busy batch, far below the time of a prefill.
_COLLECT_S = 0.03
# Between two digests without a change, in seconds, in a small deployment;
# it grows with the deployment so that an instance's share stays bounded.
_PERIOD_S = 0.5
_PEERS_PER_PERIOD = 20
# Periods of silence after which a peer's load is forgotten.
_SILENT_PERIODS = 4
# Peers whose addresses one digest passes on.
_KNOWN_MAX = 16
# Largest datagram, in bytes; larger ones are fragmented on usual links.
_DATAGRAM_BYTES_MAX = 1_400


@attrs.define
class Peer:
    """Another gateway.

    Attributes:
        instance_id: Its name.
        host: Its IP address.
        started_ms: Wall time of its start, in milliseconds.
        sequence: Number of its last digest.
        heard_s: Monotonic time of that.
        loads: Load that it causes, by target.
    """

    instance_id: str
    host: str
    started_ms: int
    sequence: int
    heard_s: float
    loads: dict[str, gateway_load.DigestRow]


class PeerExchange(asyncio.DatagramProtocol):
    """Exchanges digests with the other gateways.

    Args:
        settings: Settings of the process.
        timer_service: The timer service.
        loads: Load of each target.
        set_instances: Takes the number of instances, this one included.
        apply_records: Takes records of targets that a peer has read.
    """

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        timer_service: timers.TimerService,
        loads: gateway_load.LoadBook,
        set_instances: Callable[[int], None],
        apply_records: Callable[[api.Batch], None],
    ) -> None:
        self._settings = settings
        self._timers = timer_service
        self._loads = loads
        self._set_instances = set_instances
        self._apply_records = apply_records
        self._peers: dict[str, Peer] = {}
        self._candidates = set(settings.seed_hosts)
        self._candidates.discard(settings.callers.host)
        self._started_ms = int(timer_service.wall_s() * 1000)
        self._sequence = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._pending: timers.TimerHandle | None = None
        self._tick: timers.TimerHandle | None = None

    @property
    def period_s(self) -> float:
        """Time between two digests without a change, in seconds."""
        return _PERIOD_S * max(1.0, len(self._peers) / _PEERS_PER_PERIOD)

    @property
    def instances(self) -> int:
        """Instances that are known, this one included."""
        return len(self._peers) + 1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts to send digests."""
        self._transport = transport
        self._run_tick()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stops to send digests."""
        self._transport = None
        for handle in (self._tick, self._pending):
            if handle is not None:
                handle.cancel()

    def error_received(self, exc: Exception) -> None:
        """Takes note that a datagram could not be sent."""
        events.log(LOG, events.DATAGRAM_SEND_FAILED, reason=str(exc))

    def close(self) -> None:
        """Says goodbye and closes the socket."""
        if self._transport is not None:
            self._broadcast(self._digest(leaving=True))
            self._transport.close()

    def load_changed(self) -> None:
        """Sends a digest soon."""
        if self._pending is None:
            self._pending = self._timers.call_after(
                _COLLECT_S, self._send_digest
            )

    def send_records(self, records: list[api.Record]) -> None:
        """Tells the peers of records that were just read."""
        rows = [
            [
                record.key,
                record.offset,
                base64.b64encode(record.value).decode()
                if record.value
                else None,
            ]
            for record in records
        ]
        while rows:
            part, rows = rows[:4], rows[4:]
            self._broadcast({'id': self._settings.instance_id, 'news': part})

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Takes a digest or news of a peer."""
        try:
            message = orjson.loads(data)
            if 'news' in message:
                self._take_news(message['news'])
            else:
                self._take_digest(message, addr[0])
        except (ValueError, KeyError, TypeError, AttributeError) as exc:
            events.log(
                LOG,
                events.DATAGRAM_DROPPED,
                sender=addr[0],
                reason=f'{type(exc).__name__}: {exc}'[:80],
            )

    def _take_news(self, rows: list[list[Any]]) -> None:
        records = tuple(
            api.Record(
                str(key),
                base64.b64decode(value) if value else None,
                int(offset),
            )
            for key, offset, value in rows
        )
        self._apply_records(api.Batch(records, 0))

    def _take_digest(self, message: dict[str, Any], host: str) -> None:
        instance_id = str(message['id'])
        if instance_id == self._settings.instance_id:
            return
        order = (int(message['started_ms']), int(message['sequence']))
        peer = self._peers.get(instance_id)
        if peer and order <= (peer.started_ms, peer.sequence):
            return
        if message.get('leaving'):
            self._candidates.discard(host)
            self._drop(instance_id, 'leaving')
            return
        loads = {
            str(target_id): gateway_load.DigestRow(*map(float, row))
            for target_id, *row in message['loads']
        }
        self._peers[instance_id] = Peer(
            instance_id, host, *order, self._timers.monotonic_s(), loads
        )
        self._candidates.add(host)
        for known in message['known']:
            if known != self._settings.callers.host:
                self._candidates.add(str(known))
        if peer is None:
            self._set_instances(self.instances)
            events.log(
                LOG,
                events.GATEWAY_PEER_CHANGED,
                peer=instance_id,
                state='heard',
                instances=self.instances,
            )
            self.load_changed()
        self._sum_loads()

    def _drop(self, instance_id: str, reason: str) -> None:
        peer = self._peers.pop(instance_id, None)
        if peer is None:
            return
        events.log(
            LOG,
            events.GATEWAY_PEER_CHANGED,
            peer=instance_id,
            state=reason,
            instances=self.instances,
        )
        self._sum_loads()

    def _sum_loads(self) -> None:
        totals: dict[str, gateway_load.DigestRow] = {}
        for peer in self._peers.values():
            for target_id, row in peer.loads.items():
                before = totals.get(target_id)
                totals[target_id] = before + row if before else row
        self._loads.set_peer_loads(totals)

    def _run_tick(self) -> None:
        if self._transport is None:
            return
        now_s = self._timers.monotonic_s()
        bound_s = _SILENT_PERIODS * self.period_s
        for peer in list(self._peers.values()):
            if now_s - peer.heard_s > bound_s:
                self._drop(peer.instance_id, 'silent')
        self._send_digest()
        self._tick = self._timers.call_after(self.period_s, self._run_tick)

    def _send_digest(self) -> None:
        if self._pending is not None:
            self._pending.cancel()
            self._pending = None
        if self._transport is not None:
            self._broadcast(self._digest())

    def _digest(self, leaving: bool = False) -> dict[str, Any]:
        self._sequence += 1
        own = self._loads.own()
        known = [peer.host for peer in self._peers.values()]
        return {
            'id': self._settings.instance_id,
            'started_ms': self._started_ms,
            'sequence': self._sequence,
            'leaving': leaving,
            'known': known[:_KNOWN_MAX],
            'loads': [
                [target_id, *attrs.astuple(row)]
                for target_id, row in own.items()
            ],
        }

    def _broadcast(self, message: dict[str, Any]) -> None:
        if self._transport is None:
            return
        data = orjson.dumps(message)
        if len(data) > _DATAGRAM_BYTES_MAX:
            events.log(LOG, events.DATAGRAM_OVERSIZED, size_bytes=len(data))
        hosts = {peer.host for peer in self._peers.values()}
        for host in hosts | self._candidates:
            self._transport.sendto(data, (host, self._settings.peers_port))
