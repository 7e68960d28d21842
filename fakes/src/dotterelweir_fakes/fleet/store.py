"""Stand-in for the platform's store of keyed topics, one partition each."""

import asyncio
import base64
import struct

from aiohttp import web
import orjson

# Topics that instances may not write to.
_FOREIGN_TOPICS = frozenset({'keyed.op', 'keyed.servers'})


class FakeStore:
    """Stores the records of topics and responds to reads.

    Attributes:
        failing: Whether it responds to every call with status 503.
        silent: Whether it delays the responses to all calls until this is
            reset.
        refuses_appends: Whether it refuses the writes of instances.
        era: Era in the header of every response; None for no header.
        calls: Number of calls received, by name of the call.
        reads: Number of successful reads, by topic.
        app: The HTTP application.
    """

    def __init__(self) -> None:
        self._records: dict[str, list[tuple[str, bytes]]] = {}
        self._first_offsets: dict[str, int] = {}
        self._changed = asyncio.Condition()
        self.failing = False
        self.silent = False
        self.refuses_appends = False
        self.era: int | None = None
        # Number of records of each topic in the backup.
        self._backup_ends: dict[str, int] = {}
        self.calls: dict[str, int] = {}
        self.reads: dict[str, int] = {}
        self.app = web.Application()
        self.app.on_response_prepare.append(self._add_era_header)
        self.app.router.add_get('/-/log-newest', self._newest)
        self.app.router.add_get('/-/log-read', self._read)
        self.app.router.add_post('/-/log-append', self._append)

    async def write(self, topic: str, key: str, value: bytes) -> int:
        """Appends a record.

        Args:
            topic: Name of the topic.
            key: Key of the record, with surrogates for bytes that are not
                UTF-8.
            value: Value of the record; an empty one removes the key.

        Returns:
            The offset of the record.
        """
        async with self._changed:
            records = self._records.setdefault(topic, [])
            records.append((key, value))
            self._changed.notify_all()
            return len(records) - 1

    async def write_json(self, topic: str, key: str, value: object) -> int:
        """Appends a record with a JSON value and returns its offset."""
        return await self.write(topic, key, orjson.dumps(value))

    def newest(self, topic: str, key: str) -> bytes:
        """Returns the newest value of a key; empty if it was removed.

        Args:
            topic: Name of the topic.
            key: The key.
        """
        for other_key, value in reversed(self._records.get(topic, [])):
            if other_key == key:
                return value
        return b''

    def expire(self, topic: str) -> None:
        """Expires all records, so that reads start at the end of the topic.

        The newest record of each key remains available as a snapshot.
        """
        self._first_offsets[topic] = len(self._records.get(topic, []))

    def back_up(self) -> None:
        """Makes a backup, which replaces the previous one."""
        self._backup_ends = {
            topic: len(records) for topic, records in self._records.items()
        }

    def rewind(self) -> None:
        """Restores the backup, which loses later writes, in a new era."""
        self.era = (self.era or 0) + 1
        for topic, records in self._records.items():
            del records[self._backup_ends.get(topic, 0) :]
            self._first_offsets[topic] = min(
                self._first_offsets.get(topic, 0), len(records)
            )

    async def _add_era_header(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        if self.era is not None:
            response.headers['Store-Era'] = str(self.era)

    async def _begin_call(self, call: str) -> web.Response | None:
        self.calls[call] = self.calls.get(call, 0) + 1
        while self.silent:
            await asyncio.sleep(0.05)
        return web.Response(status=503) if self.failing else None

    async def _append(self, request: web.Request) -> web.Response:
        refusal = await self._begin_call('append')
        if refusal is not None:
            return refusal
        body, topic = await request.read(), request.query['topic']
        if self.refuses_appends or topic in _FOREIGN_TOPICS:
            return web.Response(status=403)
        offset, position = -1, 0
        while position < len(body):
            (size,) = struct.unpack_from('>I', body, position)
            content = body[position + 4 : position + 4 + size]
            position += 4 + size
            key = content[1 : 1 + content[0]].decode(errors='surrogateescape')
            offset = await self.write(topic, key, content[1 + content[0] :])
        return web.json_response({'offset': offset, 'end': offset + 1})

    async def _newest(self, request: web.Request) -> web.Response:
        refusal = await self._begin_call('newest')
        if refusal is not None:
            return refusal
        records = self._records.get(request.query['topic'], [])
        newest = {}
        for offset, (key, value) in enumerate(records):
            newest[key] = (offset, value)
        items = [
            {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
            for key, (offset, value) in newest.items()
            if value
        ]
        return web.json_response(
            {'items': items, 'hasMore': False, 'end': len(records)}
        )

    async def _read(self, request: web.Request) -> web.Response:
        refusal = await self._begin_call('read')
        if refusal is not None:
            return refusal
        topic = request.query['topic']
        offset = int(request.query['from'])
        first = self._first_offsets.get(topic, 0)
        if not first <= offset <= len(self._records.get(topic, [])):
            return web.json_response({'first': first}, status=410)
        wait_s = int(request.query.get('waitMs', '0')) / 1000.0
        async with self._changed:
            try:
                await asyncio.wait_for(
                    self._changed.wait_for(
                        lambda: len(self._records.get(topic, [])) > offset
                    ),
                    wait_s,
                )
            except TimeoutError:
                pass
        self.reads[topic] = self.reads.get(topic, 0) + 1
        records = self._records.get(topic, [])
        body = struct.pack('>QQ', len(records), first)
        for key, value in records[offset:]:
            encoded_key = key.encode(errors='surrogateescape')
            content = bytes([len(encoded_key)]) + encoded_key + value
            body += struct.pack('>I', len(content)) + content
        return web.Response(body=body)
