"""Server processes of ``relay_cost``: the source and the bare relay."""

import asyncio
import sys

import aiohttp
from aiohttp import web
import orjson

from dotterelweir_fakes.engine import tokens

_PATH = '/v1/chat/completions'
# At 10 ms the relays occasionally fell behind and merged chunks, which hides
# their cost per token.
_TOKEN_INTERVAL_S = 0.02


class _Source:
    """Sends one token per interval to each stream, as a batching engine.

    Models whose names end in ``-short`` get one token without a delay.
    """

    def __init__(self, token_count: int) -> None:
        writer = tokens.EventWriter('0123456789abcdef', 'm', True)
        events = [writer.token(index) for index in range(token_count)]
        self._long_events = [*events, writer.finish(token_count, 'stop')]
        self._short_events = [events[0], writer.finish(1, 'stop')]

    async def handle_completion(
        self, request: web.Request
    ) -> web.StreamResponse:
        """Handles a completion request with a stream of tokens."""
        short = b'-short"' in await request.read()
        response = web.StreamResponse(
            headers={
                'Content-Type': 'text/event-stream',
                'X-Request-Id': request.headers.get('X-Request-Id', ''),
                'X-Generation-Id': '0123456789abcdef',
                'X-Incarnation': '1',
                'X-Target-State': 'live',
            }
        )
        await response.prepare(request)
        loop = asyncio.get_running_loop()
        due_s = loop.time()
        for event in self._short_events if short else self._long_events:
            await response.write(event)
            due_s += 0.0 if short else _TOKEN_INTERVAL_S
            delay_s = due_s - loop.time()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
        await response.write(tokens.END_MARK)
        await response.write_eof()
        return response

    async def handle_load(self, request: web.Request) -> web.Response:
        """Handles a load poll.

        The report has no memory figures, so that admission delays no
        request.
        """
        report = {
            'target_id': 'e1',
            'incarnation': 1,
        }
        return web.json_response(body=orjson.dumps(report))


async def _make_source(token_count: str) -> web.Application:
    """Makes a source whose streams have ``token_count`` tokens."""
    app = web.Application()
    source = _Source(int(token_count))
    app.router.add_post(_PATH, source.handle_completion)
    app.router.add_get('/v1/load', source.handle_load)
    return app


async def _make_bare_relay(url: str) -> web.Application:
    """Makes a relay that forwards to a URL without any other work."""
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(total=None),
    )

    async def relay(request: web.Request) -> web.StreamResponse:
        body = await request.read()
        response = web.StreamResponse(
            headers={'Content-Type': 'text/event-stream'}
        )
        async with session.post(url + request.path, data=body) as upstream:
            await response.prepare(request)
            async for chunk in upstream.content.iter_any():
                await response.write(chunk)
        await response.write_eof()
        return response

    async def close_session(app: web.Application) -> None:
        await session.close()

    app = web.Application()
    app.router.add_post(_PATH, relay)
    app.on_cleanup.append(close_session)
    return app


_ROLES = {'source': _make_source, 'bare': _make_bare_relay}


async def _serve(role: str, port: int, argument: str) -> None:
    runner = web.AppRunner(await _ROLES[role](argument), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', port).start()
    await asyncio.get_running_loop().create_future()


if __name__ == '__main__':
    asyncio.run(_serve(sys.argv[1], int(sys.argv[2]), sys.argv[3]))
