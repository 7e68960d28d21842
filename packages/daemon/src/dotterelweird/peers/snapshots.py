"""Transfer of table snapshots between instances over HTTP.

The digest of a request covers its time, nonce and minimum offset. The digest
of a response covers the nonce of its request, so that a recorded response is
not valid for a later request.
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

# Largest accepted difference between the time of a request and the local
# clock. Nonces are stored for twice this time.
TIMESTAMP_TOLERANCE_S = 30.0
NONCES_MAX = 4096
# Longer responses are rejected, which bounds memory. A snapshot with 26 models
# and 2,200 organisations takes well under 2 MB.
SNAPSHOT_MAX_BYTES = 16 * 1024 * 1024
PEER_TIMEOUT_S = 2.0
PEERS_PER_FETCH_MAX = 3

SnapshotQuery = Callable[[], bytes | None]
CandidatesQuery = Callable[[int], list[tuple[str, int]]]


def _request_digest_input(time_ms: str, nonce: str, min_offset: str) -> bytes:
    return f'GET {PATH}\n{time_ms}\n{nonce}\n{min_offset}'.encode()


def _response_digest_input(nonce: str, body: bytes) -> bytes:
    return nonce.encode() + b'\n' + body


class SnapshotServer:
    """Serves the snapshot of this instance to peers."""

    def __init__(
        self,
        timer: timers.TimerService,
        keys: tuple[str, ...],
        query_snapshot: SnapshotQuery,
        query_offset: Callable[[], int],
    ) -> None:
        """Sets the queries that provide the snapshot.

        Args:
            timer: Clock and timers.
            keys: Secrets of the keyed digest.
            query_snapshot: Returns the snapshot; None if there is none yet.
            query_offset: Returns the offset of the last record that the
                snapshot includes.
        """
        self._timer = timer
        self._request_digests = digests.KeyedDigests(keys, b'tables-request')
        self._response_digests = digests.KeyedDigests(keys, b'tables-response')
        self._query_snapshot = query_snapshot
        self._query_offset = query_offset
        self._nonces: dict[str, float] = {}

    def app(self) -> web.Application:
        """Returns a new application for the peer HTTP port."""
        app = web.Application()
        app.router.add_get(PATH, self._handle_get)
        return app

    async def _handle_get(self, request: web.Request) -> web.Response:
        rejection_reason = self._check_request(request)
        if rejection_reason:
            events.log(
                LOG,
                events.PEER_REQUEST_REJECTED,
                host=request.remote,
                reason=rejection_reason,
            )
            return _problem_response(
                errors.ErrorKind.PEER_REJECTED, rejection_reason
            )
        min_offset = int(request.headers[OFFSET_HEADER])
        data = (
            self._query_snapshot()
            if self._query_offset() >= min_offset
            else None
        )
        if data is None:
            return _problem_response(
                errors.ErrorKind.NOT_READY,
                'no snapshot of that offset',
            )
        nonce = request.headers[NONCE_HEADER]
        digest = self._response_digests.sign(
            _response_digest_input(nonce, data)
        )
        return web.Response(body=data, headers={DIGEST_HEADER: digest.hex()})

    def _check_request(self, request: web.Request) -> str:
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
        digest_input = _request_digest_input(time_ms, nonce, min_offset)
        if not self._request_digests.verify(digest_input, digest):
            return 'wrong digest'
        wall_s = self._timer.wall_s()
        if abs(wall_s - sent_s) > TIMESTAMP_TOLERANCE_S:
            return 'stale'
        for known_nonce, received_s in list(self._nonces.items()):
            if wall_s - received_s <= 2 * TIMESTAMP_TOLERANCE_S and (
                len(self._nonces) < NONCES_MAX
            ):
                break
            del self._nonces[known_nonce]
        if nonce in self._nonces:
            return 'repeated'
        self._nonces[nonce] = wall_s
        return ''


class SnapshotClient(api.SnapshotSource):
    """Fetches snapshots from peers."""

    def __init__(
        self,
        timer: timers.TimerService,
        keys: tuple[str, ...],
        query_candidates: CandidatesQuery,
    ) -> None:
        """Sets the query of peers; connections are opened on first use.

        Args:
            timer: Clock and timers.
            keys: Secrets of the keyed digest.
            query_candidates: Returns the addresses of peers that may have a
                snapshot with a minimum offset, best first.
        """
        self._timer = timer
        self._request_digests = digests.KeyedDigests(keys, b'tables-request')
        self._response_digests = digests.KeyedDigests(keys, b'tables-response')
        self._query_candidates = query_candidates
        self._session: aiohttp.ClientSession | None = None

    async def fetch_snapshot(self, min_offset: int) -> bytes | None:
        for host, port in self._query_candidates(min_offset)[
            :PEERS_PER_FETCH_MAX
        ]:
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
        """Closes the connections to peers."""
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
        digest = self._request_digests.sign(
            _request_digest_input(time_ms, nonce, str(min_offset))
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
            response_digest = bytes.fromhex(
                response.headers.get(DIGEST_HEADER, '')
            )
            digest_input = _response_digest_input(nonce, bytes(body))
            if not self._response_digests.verify(
                digest_input, response_digest
            ):
                raise ValueError('wrong digest')
            return bytes(body)


def _problem_response(kind: errors.ErrorKind, detail: str) -> web.Response:
    response = errors.RESPONSES[kind]
    return web.json_response(
        {
            'code': kind.value,
            'title': response.title,
            'status': response.status,
            'detail': detail,
        },
        status=response.status,
        content_type='application/problem+json',
    )
