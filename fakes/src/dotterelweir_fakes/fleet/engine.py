"""Stand-in for an engine or plain service with the platform's protocol."""

import asyncio
import socket
import struct

from aiohttp import web
import attrs
import orjson

from dotterelweir_fakes.fleet import copies as fleet_copies

# Minimum size of one write of a flood, and size after which a flood ends if
# the connection is still open.
_FLOOD_BLOCK_BYTES = 65_536
_FLOOD_BYTES_MAX = 256_000_000
# Maximum size of the body of a request.
_BODY_BYTES_MAX = 8_388_608
# Path of the request that releases a copy; the handle follows it.
_HANDLE_PATH = '/-/kv-handle/'
# Interval at which a departing engine looks for work in progress.
_DEPARTURE_POLL_S = 0.005
# Time after which an engine that ended because it was brittle is back, in
# seconds.
_FALL_S = 2.0


@attrs.define
class Behaviour:
    """How an engine handles the requests that it receives.

    Attributes:
        refuse: Whether it refuses every request with a response that says
            that the request was not executed.
        status: HTTP status of its responses.
        events: Number of events of a generation.
        event_s: Time between two events, in seconds.
        event_bytes: Size of the padding of each event, in bytes.
        answer_bytes: Size of the padding of each response that is no
            stream, in bytes.
        echo_body: Whether its answers to plain calls hold the request's body.
        cut_after: Number of events after which it aborts the connection;
            None for never.
        silent_after: Number of events after which it sends nothing more;
            None for never.
        hang: Whether it runs each request and never responds.
        delay_s: Delay of each response, in seconds.
        sealed: Whether its responses have the header ``X-Upstream-Seal``.
        echo_id: Whether its responses repeat the id of the request.
        extra: Whether it sends a second response after each response.
        unframed: Whether it sends a response without a length and resets
            the connection.
        raw: Bytes that it sends in place of a response before it closes the
            connection; ``REQUEST`` stands for the id of the request.
        raw_rest: Bytes that it sends soon after ``raw``, as another piece.
        reset: Whether it resets the connection after ``raw``.
        has_copies: Whether it has the copies of runs that requests name.
        move_status: HTTP status of its responses to moves; None to handle
            them.
        final_move_status: HTTP status of its responses to moves that stop a
            run; None to handle them.
        final_move_s: Delay of its response to a move that stops a run, in
            seconds; the run stops without delay.
        refused_moves: Number of next moves that it refuses for lack of
            capacity.
        flood: Bytes that it sends repeatedly after ``raw`` until the
            connection is closed.
        trickle_after: Number of events after which it sends only single
            bytes of an event; None for never.
        trickle_s: Time between two such bytes, in seconds.
        close_delimited: Whether its streams have neither a length nor chunks
            and end with their connection. A run that is stopped then ends
            after a whole event with a regular close.
        leaving: Whether its responses announce that it is leaving.
        limit: Value of the header ``Server-Limit`` of its responses; empty
            for none.
        retry_after: ``Retry-After`` of its refusals; empty for none.
        refusal_id: Id that its refusal of a request that it runs names, as
            if it repeated an earlier refusal; empty for a refusal that names
            no request, None for no such refusal.
        refusal_status: HTTP status of such a refusal.
        close_unanswered: Whether it closes the connection of each request
            that it runs before any byte of a response.
        pause_after: Number of events after which it sends nothing for a
            while; None for never.
        pause_s: Length of this pause, in seconds.
        hang_moves: Whether it accepts calls that move runs and never
            responds to them.
        keeps_running: Whether it works on after its caller has closed the
            connection.
        preempted_unknown: Whether calls that move runs do not find a run
            during this pause.
        copy_s: Shortest and longest duration of a copy of one of its runs,
            in seconds.
        copy_full_share: Share of the copies that it refuses to hold for lack
            of room.
        copy_slots: Number of copies that it can hold; None for any number.
        slots_max: Number of requests that it runs at once; it refuses others.
            None for no maximum.
        brittle: Value of the header ``Server-Brittle`` of its responses: the
            number of refusals for lack of a slot in a second above which it
            ends. Empty for none.
        crash_part: Part of a prompt that ends the engine as it begins to
            write an answer; empty for none.
        crash_bytes: Part of an answer that it writes before that, as a share
            of its head; above 1 for the head and part of an event.
    """

    refuse: bool = False
    status: int = 200
    events: int = 10
    event_s: float = 0.005
    event_bytes: int = 0
    answer_bytes: int = 0
    echo_body: bool = True
    cut_after: int | None = None
    silent_after: int | None = None
    hang: bool = False
    delay_s: float = 0.0
    sealed: bool = True
    echo_id: bool = True
    extra: bool = False
    unframed: bool = False
    raw: bytes = b''
    raw_rest: bytes = b''
    reset: bool = False
    has_copies: bool = True
    move_status: int | None = None
    final_move_status: int | None = None
    final_move_s: float = 0.0
    refused_moves: int = 0
    flood: bytes = b''
    trickle_after: int | None = None
    trickle_s: float = 0.05
    close_delimited: bool = False
    leaving: bool = False
    limit: str = ''
    retry_after: str = ''
    refusal_id: str | None = None
    refusal_status: int = 503
    close_unanswered: bool = False
    pause_after: int | None = None
    pause_s: float = 0.0
    hang_moves: bool = False
    keeps_running: bool = False
    preempted_unknown: bool = False
    copy_s: tuple[float, float] = (0.0, 0.0)
    copy_full_share: float = 0.0
    copy_slots: int | None = None
    slots_max: int | None = None
    brittle: str = ''
    crash_part: str = ''
    crash_bytes: float = 1.0


# Connections that fill the queue of a socket that accepts none.
_FULL_QUEUE = 2


def _discard(data: object) -> None:
    """Takes the place of a write to a connection of a dark engine."""


def _make_request(message, payload, protocol, writer, task) -> web.BaseRequest:
    return web.BaseRequest(
        message,
        payload,
        protocol,
        writer,
        task,
        asyncio.get_running_loop(),
        client_max_size=_BODY_BYTES_MAX,
    )


class FakeEngine:
    """Runs requests and records them.

    Attributes:
        target_id: Name of the target.
        behaviour: How it handles requests.
        ran: Ids of the requests that it began to run, in order.
        received_headers: Headers of every request, in order; their names
            are in lower case.
        paths: Path and query of every request, in order.
        arrivals: Every request, calls that control runs included, in order:
            its monotonic time in seconds, and its id, empty for such calls.
        resumed_after: For each resumed run, the id of the last event before
            it was resumed, in order.
        cancelled: Ids of the requests whose connection closed while they
            ran, in order.
        move_orders: Every order to copy a run, in order.
        released_handles: Handles of the copies that were released, in order.
        stopped_runs: Monotonic time of the last order to stop each run, in
            seconds, by request.
        copies: Its link and the copies that it holds; None if it answers
            every order to copy a run without a copy.
        falls: How often it ended because it was brittle.
        flooded_bytes: Total size of the floods that it sent, in bytes.
        started_ms: Wall time of its start, in milliseconds.
        software_version: Version of its software.
        names_version: Whether its events name that version.
        address: Its host and port.
        zone: Its availability zone.
    """

    def __init__(self, target_id: str) -> None:
        self.target_id = target_id
        self.behaviour = Behaviour()
        self.ran: list[str] = []
        self.received_headers: list[dict[str, str]] = []
        self.paths: list[str] = []
        self.arrivals: list[tuple[float, str]] = []
        self.resumed_after: list[int] = []
        self.cancelled: list[str] = []
        self.move_orders: list[dict] = []
        self.released_handles: list[str] = []
        self.stopped_runs: dict[str, float] = {}
        self.copies: fleet_copies.EngineCopies | None = None
        self.flooded_bytes = 0
        self.falls = 0
        # Monotonic times of refusals for lack of a slot, in seconds.
        self._turned_away_s: list[float] = []
        self.started_ms = 0
        self.software_version = 'v1'
        self.names_version = False
        self._stop_events: dict[str, asyncio.Event] = {}
        # Ids of the last events of runs with a stream.
        self._events_made: dict[str, int] = {}
        self._paused: set[str] = set()
        self.address = ''
        self.zone = 'zone-a'
        self._server: asyncio.Server | None = None
        self._web_server: web.Server | None = None
        # Connections with a request in progress.
        self._transports: set[asyncio.BaseTransport] = set()
        # Connections and sockets that it holds while it is dark.
        self._dark_transports: list[asyncio.Transport] = []
        self._dark_sockets: list[socket.socket] = []
        # Connections of streams, by request.
        self._stream_transports: dict[str, asyncio.Transport] = {}
        # Number of runs and of orders to copy a run that are unanswered.
        self._work_in_progress = 0

    async def start(self, port: int = 0) -> None:
        """Starts to listen on the loopback interface.

        Args:
            port: The port; 0 for a free one.
        """
        loop = asyncio.get_running_loop()
        if self.copies is not None:
            # It knows nothing of before.
            self.copies.clear()
        self._web_server = web.Server(
            self._handle,
            access_log=None,
            handler_cancellation=True,
            request_factory=_make_request,
        )
        self._server = await loop.create_server(
            self._web_server, '127.0.0.1', port
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def stop(self) -> None:
        """Closes the listening socket."""
        for dark_socket in self._dark_sockets:
            dark_socket.close()
        if self._server is not None:
            self._server.close()

    @property
    def is_up(self) -> bool:
        """Whether it listens."""
        return self._server is not None and self._server.is_serving()

    async def start_again(self) -> None:
        """Starts at its address after it has ended."""
        await self.start(int(self.address.rpartition(':')[2]))

    def crash(self) -> None:
        """Stops listening and closes all connections without answers."""
        self._server.close()
        if self.copies is not None:
            self.copies.clear()
        for transport in tuple(self._transports):
            transport.abort()

    def go_dark(self) -> None:
        """Ends as a machine without power: nothing is sent any more.

        Open connections stay open, and new ones are not made.
        """
        port = int(self.address.rpartition(':')[2])
        self._server.close()
        for connection in self._web_server.connections:
            transport = connection.transport
            if transport is not None:
                transport.write = transport.writelines = _discard
                self._dark_transports.append(transport)
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(('127.0.0.1', port))
        listener.listen(0)
        self._dark_sockets = [listener]
        # With a full queue of new connections, further ones are not made.
        for _ in range(_FULL_QUEUE):
            waiting = socket.socket()
            waiting.setblocking(False)
            waiting.connect_ex(('127.0.0.1', port))
            self._dark_sockets.append(waiting)

    async def return_from_dark(self) -> None:
        """Starts again at its address and resets its earlier connections."""
        for transport in self._dark_transports:
            transport.abort()
        for dark_socket in self._dark_sockets:
            dark_socket.close()
        self._dark_transports, self._dark_sockets = [], []
        await self.start_again()

    async def depart(self, grace_s: float | None) -> None:
        """Serves on for a while and then ends with all its connections.

        Args:
            grace_s: Time until it ends, in seconds; None to end as soon as
                neither a run nor a copy of a run is in progress.
        """
        if grace_s is not None:
            await asyncio.sleep(grace_s)
        else:
            while self._is_busy:
                await asyncio.sleep(_DEPARTURE_POLL_S)
        self.crash()
        for connection in self._web_server.connections:
            if connection.transport is not None:
                # Complete responses still arrive.
                connection.transport.close()

    @property
    def _is_busy(self) -> bool:
        is_copying = self.copies is not None and self.copies.is_copying
        return is_copying or self._work_in_progress > 0

    def can_move(self, request_id: str) -> bool:
        """Returns whether it knows a run that can be moved."""
        stopped = self._stop_events.get(request_id)
        if stopped is None or stopped.is_set():
            return False
        return not (
            self.behaviour.preempted_unknown and request_id in self._paused
        )

    def events_made(self, request_id: str) -> int:
        """Returns the id of the last event of a run; 0 without a run."""
        return self._events_made.get(request_id, 0)

    def stop_run(self, request_id: str) -> None:
        """Stops a run; its stream is closed without its end."""
        self.stopped_runs[request_id] = asyncio.get_running_loop().time()
        self._stop_events[request_id].set()
        transport = self._stream_transports.get(request_id)
        if transport is not None and transport.get_write_buffer_size():
            # The stream waits for its reader and would stay open.
            transport.abort()

    def entry(self, service: str, state: str = 'ready') -> dict:
        """Returns its registry entry.

        Args:
            service: Name of its service.
            state: State in the entry.
        """
        return {
            'service': service,
            'addr': self.address,
            'zone': self.zone,
            'version': self.software_version,
            'slots': 8,
            'state': state,
            'warmupLeftMs': 0,
            'seq': 1,
            'born': self.started_ms,
        }

    def behaviour_of(self, request_id: str) -> Behaviour:
        """Returns how it handles one request; the same for all by default."""
        return self.behaviour

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        transport = request.transport
        self._transports.add(transport)
        try:
            return await self._respond(request)
        finally:
            self._transports.discard(transport)

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        self.arrivals.append(
            (
                asyncio.get_running_loop().time(),
                request.headers.get('X-Attempt-Id', ''),
            )
        )
        if request.path == '/-/kv-move':
            return self._add_notices(await self._move(request))
        if request.path.startswith(_HANDLE_PATH):
            handle = request.path.removeprefix(_HANDLE_PATH)
            self.released_handles.append(handle)
            if self.copies is not None:
                self.copies.release(handle)
            return self._add_notices(web.Response(status=200))
        body = await request.read()
        headers = {name.lower(): v for name, v in request.headers.items()}
        self.received_headers.append(headers)
        self.paths.append(request.raw_path)
        request_id = headers.get('x-attempt-id', '')
        behaviour = self.behaviour
        if headers.get('x-expect-instance') != self.target_id:
            return web.Response(
                status=421, headers={'X-Attempt-Id': request_id}
            )
        copy_missing = 'kv-from' in headers and not behaviour.has_copies
        if not request_id:
            return self._add_notices(
                web.Response(status=400, headers={'X-Not-Executed': '1'})
            )
        if behaviour.slots_max is not None and (
            self._work_in_progress >= behaviour.slots_max
        ):
            self._turn_away()
            return self._add_notices(_refusal(503, request_id))
        if behaviour.refuse or copy_missing or not self._take_copy(headers):
            return self._add_notices(_refusal(503, request_id))
        self.ran.append(request_id)
        self._work_in_progress += 1
        try:
            return await self._run(request, headers, body)
        except asyncio.CancelledError:
            self.cancelled.append(request_id)
            raise
        finally:
            self._work_in_progress -= 1

    def _turn_away(self) -> None:
        """Counts a refusal; ends for some seconds after too many."""
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        self._turned_away_s = [
            turned_s
            for turned_s in self._turned_away_s
            if now_s - turned_s < 1
        ] + [now_s]
        brittle = self.behaviour.brittle
        if brittle and len(self._turned_away_s) > int(brittle):
            self.falls += 1
            self._turned_away_s.clear()
            self.crash()
            self._restart = loop.call_later(
                _FALL_S, lambda: asyncio.ensure_future(self.start_again())
            )
            raise ConnectionResetError

    def _take_copy(self, headers: dict[str, str]) -> bool:
        """Returns whether the copy that a request names, if any, is here."""
        if self.copies is None or 'kv-from' not in headers:
            return True
        return self.copies.take(headers['x-attempt-id'], headers['kv-from'])

    async def _run(
        self, request: web.BaseRequest, headers: dict[str, str], body: bytes
    ) -> web.StreamResponse:
        """Runs an accepted request and responds according to its behaviour."""
        request_id = headers.get('x-attempt-id', '')
        behaviour = self.behaviour_of(request_id)
        if behaviour.hang:
            await asyncio.sleep(3600)
        if behaviour.delay_s:
            await asyncio.sleep(behaviour.delay_s)
        if behaviour.close_unanswered:
            request.transport.close()
            raise ConnectionResetError
        if behaviour.refusal_id is not None:
            return _refusal(behaviour.refusal_status, behaviour.refusal_id)
        if behaviour.flood:
            await self._flood(request.transport, request_id)
        if behaviour.raw:
            self._write_raw(request.transport, request_id)
            if behaviour.raw_rest:
                await asyncio.sleep(0.02)
                request.transport.write(behaviour.raw_rest)
            if behaviour.reset:
                await self._reset(request.transport)
            request.transport.close()
            await asyncio.sleep(0.05)
            raise ConnectionResetError
        if behaviour.unframed:
            return await self._send_unframed(request)
        if 'x-token-usage' in headers and behaviour.status == 200:
            if behaviour.close_delimited:
                return await self._stream_close_delimited(request, request_id)
            return await self._stream(request, headers, request_id)
        if behaviour.extra:
            loop = asyncio.get_running_loop()
            loop.call_later(0.001, self._send_extra, request.transport)
        return web.Response(
            status=behaviour.status,
            body=b'answer to %b %b%b'
            % (
                request_id.encode(),
                body if behaviour.echo_body else b'',
                b'x' * behaviour.answer_bytes,
            ),
            headers=self._headers(request_id),
        )

    async def _flood(
        self, transport: asyncio.Transport, request_id: str
    ) -> None:
        """Sends bytes until the connection closes or the limit is reached."""
        behaviour = self.behaviour
        self._write_raw(transport, request_id)
        block = behaviour.flood * (
            1 + _FLOOD_BLOCK_BYTES // len(behaviour.flood)
        )
        while self.flooded_bytes < _FLOOD_BYTES_MAX:
            if transport.is_closing():
                break
            if transport.get_write_buffer_size() == 0:
                transport.write(block)
                self.flooded_bytes += len(block)
            await asyncio.sleep(0)
        transport.abort()
        raise ConnectionResetError

    def _write_raw(
        self, transport: asyncio.Transport, request_id: str
    ) -> None:
        raw = self.behaviour.raw.replace(b'REQUEST', request_id.encode())
        transport.write(raw)

    def _send_extra(self, transport: asyncio.Transport | None) -> None:
        if transport is not None and not transport.is_closing():
            transport.write(
                b'HTTP/1.1 200 OK\r\nX-Upstream-Seal: other\r\n'
                b'Content-Length: 5\r\n\r\nother'
            )

    async def _send_unframed(self, request: web.BaseRequest) -> web.Response:
        transport = request.transport
        transport.write(
            b'HTTP/1.1 200 OK\r\nX-Upstream-Seal: s\r\nX-Attempt-Id: '
            + request.headers['X-Attempt-Id'].encode()
            + b'\r\n\r\nhalf of the'
        )
        await self._reset(transport)
        raise ConnectionResetError

    async def _reset(self, transport: asyncio.Transport) -> None:
        """Resets a connection once the bytes written to it have arrived."""
        await asyncio.sleep(0.02)
        # With a linger time of 0 the connection ends with a reset.
        transport.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        transport.abort()

    def _add_notices(self, response: web.Response) -> web.Response:
        """Adds target notices to a response that is not from a run."""
        if self.behaviour.leaving:
            response.headers['Server-Leaving'] = '1'
        if self.behaviour.limit:
            response.headers['Server-Limit'] = self.behaviour.limit
        if self.behaviour.brittle:
            response.headers['Server-Brittle'] = self.behaviour.brittle
        if self.behaviour.retry_after and response.status == 503:
            response.headers['Retry-After'] = self.behaviour.retry_after
        return response

    def _headers(self, request_id: str) -> dict[str, str]:
        headers = {}
        if self.behaviour.leaving:
            headers['Server-Leaving'] = '1'
        if self.behaviour.limit:
            headers['Server-Limit'] = self.behaviour.limit
        if self.behaviour.brittle:
            headers['Server-Brittle'] = self.behaviour.brittle
        if self.behaviour.sealed:
            headers['X-Upstream-Seal'] = f'seal-{self.target_id}'
        if self.behaviour.echo_id:
            headers['X-Attempt-Id'] = request_id
        return headers

    def answer_start(self, request_id: str, share: float) -> bytes:
        """Returns the first bytes of a stream.

        Args:
            request_id: Id of the request.
            share: Part of the head, as a share; above 1 for the whole head
                and part of an event.
        """
        rows = ['HTTP/1.1 200 OK', 'Transfer-Encoding: chunked']
        rows += [
            f'{name}: {value}'
            for name, value in self._headers(request_id).items()
        ]
        head = '\r\n'.join((*rows, '', '')).encode()
        if share > 1:
            return head + b'd\r\nid: 1\ndata: x\r\n'
        return head[: int(share * len(head))]

    async def _stream(
        self,
        request: web.BaseRequest,
        headers: dict[str, str],
        request_id: str,
    ) -> web.StreamResponse:
        behaviour = self.behaviour_of(request_id)
        first = 1
        if 'last-event-id' in headers:
            first = int(headers['last-event-id']) + 1
            self.resumed_after.append(first - 1)
        parts = headers.get('x-prompt-prefix', '').split(',')
        if behaviour.crash_part and behaviour.crash_part in parts:
            request.transport.write(
                self.answer_start(request_id, behaviour.crash_bytes)
            )
            # The bytes arrive before the connection ends.
            await asyncio.sleep(0.005)
            self.crash()
            raise ConnectionResetError
        response = web.StreamResponse(headers=self._headers(request_id))
        response.content_type = 'text/event-stream'
        response.enable_chunked_encoding()
        await response.prepare(request)
        stopped = self._stop_events[request_id] = asyncio.Event()
        self._events_made[request_id] = first - 1
        self._stream_transports[request_id] = request.transport
        suffix = b'x' * behaviour.event_bytes
        if self.names_version:
            suffix += b' ' + self.software_version.encode()
        end_kept = None
        is_complete = False
        try:
            for sent, number in enumerate(range(first, behaviour.events + 1)):
                if behaviour.cut_after == sent or stopped.is_set():
                    # The stream of an engine may end within an event.
                    await response.write(b'id: %d\ndata: ha' % number)
                    request.transport.abort()
                    raise ConnectionResetError
                if behaviour.trickle_after == sent:
                    while not stopped.is_set():
                        await response.write(b'x')
                        await asyncio.sleep(behaviour.trickle_s)
                    request.transport.abort()
                    raise ConnectionResetError
                if behaviour.pause_after == sent:
                    await self._pause(request_id, stopped, behaviour.pause_s)
                    if stopped.is_set():
                        request.transport.abort()
                        raise ConnectionResetError
                if behaviour.silent_after == sent:
                    await stopped.wait()
                    request.transport.abort()
                    raise ConnectionResetError
                await response.write(
                    b'id: %d\ndata: token-%d%b\n\n' % (number, number, suffix)
                )
                self._events_made[request_id] = number
                if self.copies is None:
                    await asyncio.sleep(behaviour.event_s)
                    continue
                if end_kept is None and 'x-kv-backup' in headers:
                    end_kept = self.copies.keep(
                        request_id, headers['x-kv-backup']
                    )
                await _wait(stopped, behaviour.event_s)
            if self.copies is not None and stopped.is_set():
                request.transport.abort()
                raise ConnectionResetError
            is_complete = True
        finally:
            # The request may run here again by now.
            if self._stop_events.get(request_id) is stopped:
                del self._stop_events[request_id]
                del self._events_made[request_id]
                del self._stream_transports[request_id]
            if end_kept is not None:
                end_kept(is_complete)
        await response.write_eof()
        return response

    async def _pause(
        self, request_id: str, stopped: asyncio.Event, pause_s: float
    ) -> None:
        """Waits as a preempted run does, until it is stopped."""
        self._paused.add(request_id)
        try:
            await _wait(stopped, pause_s)
        finally:
            self._paused.discard(request_id)

    async def _stream_close_delimited(
        self, request: web.BaseRequest, request_id: str
    ) -> web.StreamResponse:
        behaviour = self.behaviour
        transport = request.transport
        transport.write(
            b'HTTP/1.1 200 OK\r\nX-Upstream-Seal: s\r\nX-Attempt-Id: '
            + request_id.encode()
            + b'\r\n\r\n'
        )
        stopped = self._stop_events[request_id] = asyncio.Event()
        try:
            for number in range(1, behaviour.events + 1):
                if behaviour.silent_after == number - 1:
                    await stopped.wait()
                if stopped.is_set():
                    break
                transport.write(
                    b'id: %d\ndata: token-%d\n\n' % (number, number)
                )
                await asyncio.sleep(behaviour.event_s)
        finally:
            self._stop_events.pop(request_id, None)
        transport.close()
        raise ConnectionResetError

    async def _move(self, request: web.BaseRequest) -> web.Response:
        order = orjson.loads(await request.read())
        self.move_orders.append(order)
        if self.behaviour.hang_moves:
            await asyncio.sleep(3600)
        if self.behaviour.move_status is not None:
            return web.Response(status=self.behaviour.move_status)
        if order['last'] and self.behaviour.final_move_status is not None:
            return web.Response(status=self.behaviour.final_move_status)
        if self.behaviour.refused_moves:
            self.behaviour.refused_moves -= 1
            return web.Response(status=503)
        if self.copies is not None:
            return await self._copy(order)
        if order['id'] not in self._stop_events:
            return web.Response(status=404)
        if order['last']:
            self.stop_run(order['id'])
            await asyncio.sleep(self.behaviour.final_move_s)
        return web.json_response({'handle': 'h1', 'created': 0})

    async def _copy(self, order: dict) -> web.Response:
        """Copies a run to another engine of the network."""
        self._work_in_progress += 1
        try:
            answer = await self.copies.move(
                order['id'], order['to'], order['last']
            )
            if order['last']:
                await asyncio.sleep(self.behaviour.final_move_s)
        finally:
            self._work_in_progress -= 1
        if not answer.handle:
            return web.Response(status=answer.status)
        body = {'handle': answer.handle}
        if answer.status == 200:
            body['created'] = answer.created
        return web.json_response(body, status=answer.status)


async def _wait(event: asyncio.Event, delay_s: float) -> None:
    """Waits for a time, or until an event is set."""
    try:
        async with asyncio.timeout(delay_s):
            await event.wait()
    except TimeoutError:
        pass


def _refusal(status: int, request_id: str) -> web.Response:
    """Returns a response that says that a request was not executed.

    Args:
        status: HTTP status.
        request_id: Id that the response names; empty for none.
    """
    headers = {'X-Not-Executed': '1'}
    if request_id:
        headers['X-Attempt-Id'] = request_id
    return web.Response(status=status, headers=headers)
