"""Snapshots of the tables between instances, over HTTP.

The digest of a request covers its time, nonce and least offset; the digest
of a response covers the nonce of its request, so that an old response does
not pass for a new one.
"""

from collections.abc import Callable
import logging
import secrets

import aiohttp
from aiohttp import web

from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core import timers
from dotterelweird.peers import api
from dotterelweird.peers import digests

LOG = logging.getLogger(__name__)

PATH = '/peer/v1/tables'
DIGEST_HEADER = 'X-Peer-Digest'
NONCE_HEADER = 'X-Peer-Nonce'
TIME_HEADER = 'X-Peer-Time-Ms'
OFFSET_HEADER = 'X-Peer-Min-Offset'

# Most difference of two clocks, and how long nonces are remembered.
STALE_S = 30.0
NONCES_MAX = 4096
# Tables of 26 models and 2,200 organisations take well under 2 MB.
SNAPSHOT_MAX_BYTES = 16 * 1024 * 1024
PEER_TIMEOUT_S = 2.0
PEERS_MAX = 3

Snapshot = Callable[[], bytes | None]
Candidates = Callable[[int], list[tuple[str, int]]]


def _request_bytes(time_ms: str, nonce: str, min_offset: str) -> bytes:
    return f'GET {PATH}\n{time_ms}\n{nonce}\n{min_offset}'.encode()


def _response_bytes(nonce: str, body: bytes) -> bytes:
    return nonce.encode() + b'\n' + body


class SnapshotServer:
    """Gives the snapshot of this instance to peers."""

    def __init__(
        self,
        timer: timers.TimerService,
        keys: tuple[str, ...],
        snapshot: Snapshot,
        offset: Callable[[], int],
    ) -> None:
        """Takes the queries that it serves.

        Args:
            timer: Source of time.
            keys: Secrets of the keyed digest.
            snapshot: Query of the snapshot; None if there is none yet.
            offset: Query of the offset that the snapshot includes.
        """
        self._timer = timer
        self._requests = digests.Digests(keys, b'tables-request')
        self._responses = digests.Digests(keys, b'tables-response')
        self._snapshot = snapshot
        self._offset = offset
        self._nonces: dict[str, float] = {}

    def app(self) -> web.Application:
        """The application of the peer HTTP port."""
        app = web.Application()
        app.router.add_get(PATH, self._get)
        return app

    async def _get(self, request: web.Request) -> web.Response:
        problem = self._check(request)
        if problem:
            events.log(
                LOG,
                events.PEER_REQUEST_REJECTED,
                host=request.remote,
                reason=problem,
            )
            return _problem(errors.ErrorKind.PEER_REJECTED, problem)
        min_offset = int(request.headers[OFFSET_HEADER])
        data = self._snapshot() if self._offset() >= min_offset else None
        if data is None:
            return _problem(
                errors.ErrorKind.NOT_READY, 'no snapshot of that offset'
            )
        nonce = request.headers[NONCE_HEADER]
        digest = self._responses.sign(_response_bytes(nonce, data))
        return web.Response(body=data, headers={DIGEST_HEADER: digest.hex()})

    def _check(self, request: web.Request) -> str:
        headers = request.headers
        try:
            time_ms = headers[TIME_HEADER]
            nonce = headers[NONCE_HEADER]
            min_offset = headers[OFFSET_HEADER]
            digest = bytes.fromhex(headers[DIGEST_HEADER])
            sent_s = int(time_ms) / 1000.0
            int(min_offset)
        except (KeyError, ValueError, OverflowError):
            return 'missing or malformed header'
        signed = _request_bytes(time_ms, nonce, min_offset)
        if not self._requests.verify(signed, digest):
            return 'wrong digest'
        wall_s = self._timer.wall_s()
        if abs(wall_s - sent_s) > STALE_S:
            return 'stale'
        for old, seen_s in list(self._nonces.items()):
            if wall_s - seen_s <= 2 * STALE_S and (
                len(self._nonces) < NONCES_MAX
            ):
                break
            del self._nonces[old]
        if nonce in self._nonces:
            return 'repeated'
        self._nonces[nonce] = wall_s
        return ''


class SnapshotClient(api.TablesPeer):
    """Fetches snapshots from peers."""

    def __init__(
        self,
        timer: timers.TimerService,
        keys: tuple[str, ...],
        candidates: Candidates,
    ) -> None:
        """Takes the query of peers.

        Args:
            timer: Source of time.
            keys: Secrets of the keyed digest.
            candidates: Query of the addresses of peers that may have a
                least offset, the best first.
        """
        self._timer = timer
        self._requests = digests.Digests(keys, b'tables-request')
        self._responses = digests.Digests(keys, b'tables-response')
        self._candidates = candidates
        self._session: aiohttp.ClientSession | None = None

    async def fetch_snapshot(self, min_offset: int) -> bytes | None:
        for host, port in self._candidates(min_offset)[:PEERS_MAX]:
            try:
                return await self._fetch(host, port, min_offset)
            except (
                TimeoutError,
                aiohttp.ClientError,
                OSError,
                ValueError,
            ) as error:
                events.log(
                    LOG,
                    events.PEER_SNAPSHOT_FAILED,
                    host=host,
                    port=port,
                    reason=str(error) or type(error).__name__,
                )
        return None

    async def close(self) -> None:
        """Closes the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _fetch(self, host: str, port: int, min_offset: int) -> bytes:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=PEER_TIMEOUT_S)
            )
        time_ms = str(int(self._timer.wall_s() * 1000))
        nonce = secrets.token_hex(16)
        digest = self._requests.sign(
            _request_bytes(time_ms, nonce, str(min_offset))
        )
        headers = {
            TIME_HEADER: time_ms,
            NONCE_HEADER: nonce,
            OFFSET_HEADER: str(min_offset),
            DIGEST_HEADER: digest.hex(),
        }
        async with self._session.get(
            f'http://{host}:{port}{PATH}', headers=headers
        ) as response:
            if response.status != 200:
                raise ValueError(f'status {response.status}')
            body = bytearray()
            async for chunk in response.content.iter_chunked(65_536):
                body += chunk
                if len(body) > SNAPSHOT_MAX_BYTES:
                    raise ValueError('snapshot is too large')
            answered = bytes.fromhex(response.headers.get(DIGEST_HEADER, ''))
            signed = _response_bytes(nonce, bytes(body))
            if not self._responses.verify(signed, answered):
                raise ValueError('wrong digest')
            return bytes(body)


def _problem(kind: errors.ErrorKind, detail: str) -> web.Response:
    answer = errors.RESPONSES[kind]
    return web.json_response(
        {
            'code': kind.value,
            'title': answer.title,
            'status': answer.status,
            'detail': detail,
        },
        status=answer.status,
        content_type='application/problem+json',
    )
