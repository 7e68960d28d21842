"""Stand-in of the platform's store: keyed topics of one partition."""

import asyncio
import base64
import struct

from aiohttp import web
import orjson


class FakeStore:
    """Keeps records of two topics and answers reads.

    Attributes:
        failing: Answers every call with 503 while it is set.
        silent: Answers no call while it is set.
        era: Era that every answer names; None to name none.
        calls: Calls that arrived, by name.
        reads: Reads that were answered, by topic.
    """

    def __init__(self) -> None:
        self._records: dict[str, list[tuple[str, bytes]]] = {}
        self._first_offsets: dict[str, int] = {}
        self._changed = asyncio.Condition()
        self.failing = False
        self.silent = False
        self.era: int | None = None
        # Records of each topic in the copy from which it comes back.
        self._backup_ends: dict[str, int] = {}
        self.calls: dict[str, int] = {}
        self.reads: dict[str, int] = {}
        self.app = web.Application()
        self.app.on_response_prepare.append(self._add_era_header)
        self.app.router.add_get('/-/log-newest', self._newest)
        self.app.router.add_get('/-/log-read', self._read)

    async def write(self, topic: str, key: str, value: bytes) -> int:
        """Appends a record; an empty value removes the key."""
        async with self._changed:
            records = self._records.setdefault(topic, [])
            records.append((key, value))
            self._changed.notify_all()
            return len(records) - 1

    async def write_json(self, topic: str, key: str, value: object) -> int:
        """Appends a record with a JSON value."""
        return await self.write(topic, key, orjson.dumps(value))

    def expire(self, topic: str) -> None:
        """Drops every record but the newest of each key."""
        self._first_offsets[topic] = len(self._records.get(topic, []))

    def back_up(self) -> None:
        """Makes the copy from which the store may come back."""
        self._backup_ends = {
            topic: len(records) for topic, records in self._records.items()
        }

    def rewind(self) -> None:
        """Comes back from the copy; what was written since is gone."""
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
            content = bytes([len(key)]) + key.encode() + value
            body += struct.pack('>I', len(content)) + content
        return web.Response(body=body)
