"""Stand-in for the platform's store: keyed topics with one partition."""

import asyncio
import base64
import json
import struct
import urllib.parse

import http_io

# Greatest number of records and of bytes in one page of the newest records.
PAGE_RECORDS_MAX = 500
PAGE_BYTES_MAX = 1_000_000
# Greatest number of bytes in one read.
READ_BYTES_MAX = 1_048_576


class Store:
    """Keeps the records of topics and answers reads.

    Attributes:
        address: Host and port.
        answer_s: Time that an answer takes, in seconds.
        on_page: Called with the address of the caller, the topic, the number
            of records and whether more follow, after each page.
    """

    def __init__(self) -> None:
        self.address = ''
        self.answer_s = 0.004
        self.on_page = None
        self._topics: dict[str, list[tuple[str, bytes]]] = {}
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        """Listens on a free port of an address."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'

    def close(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()

    def write(self, topic: str, key: str, value: object) -> None:
        """Appends a record; None removes the key."""
        content = b''
        if isinstance(value, bytes):
            content = value
        elif value is not None:
            content = json.dumps(value).encode()
        self._topics.setdefault(topic, []).append((key, content))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        caller = writer.get_extra_info('peername')[0]
        try:
            while (request := await http_io.read_head(reader)) is not None:
                await http_io.read_body(reader, request, False)
                await asyncio.sleep(self.answer_s)
                status, body = self._answer(request.path, caller)
                writer.write(http_io.encode(f'HTTP/1.1 {status} x', {}, body))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    def _answer(self, path: str, caller: str) -> tuple[int, bytes]:
        name, _, query_text = path.partition('?')
        query = dict(urllib.parse.parse_qsl(query_text))
        records = self._topics.get(query.get('topic', ''), [])
        if name == '/-/log-newest':
            return 200, self._page(records, query, caller)
        if name == '/-/log-read':
            first = int(query['from'])
            if first > len(records):
                return 410, json.dumps({'first': 0}).encode()
            body = bytearray(struct.pack('>QQ', len(records), 0))
            for key, value in records[first:]:
                content = bytes([len(key.encode())]) + key.encode() + value
                body += struct.pack('>I', len(content)) + content
                if len(body) > READ_BYTES_MAX:
                    break
            return 200, bytes(body)
        return 404, b'{}'

    def _page(
        self,
        records: list[tuple[str, bytes]],
        query: dict[str, str],
        caller: str,
    ) -> bytes:
        newest = {key: (n, v) for n, (key, v) in enumerate(records)}
        items: list[dict] = []
        size = 0
        more = False
        for key in sorted(newest):
            offset, value = newest[key]
            if not value or key <= query.get('after', ''):
                continue
            if len(items) == PAGE_RECORDS_MAX or size > PAGE_BYTES_MAX:
                more = True
                break
            size += len(value)
            encoded = base64.b64encode(value).decode()
            items.append({'key': key, 'value': encoded, 'offset': offset})
        page = {'items': items, 'hasMore': more, 'end': len(records)}
        if self.on_page is not None:
            asyncio.get_running_loop().call_soon(
                self.on_page, caller, query['topic'], len(items), more
            )
        return json.dumps(page).encode()
