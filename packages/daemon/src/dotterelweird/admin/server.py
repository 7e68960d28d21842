"""The operators' HTTP interface."""

import asyncio
from collections.abc import Callable

from aiohttp import web
import cattrs
import orjson

from dotterelweird import lifecycle as lifecycle_module
from dotterelweird.admin import api
from dotterelweird.admin import feed as feed_module

_KEEPALIVE_INTERVAL_S = 10.0

MetricsRenderer = Callable[[str], tuple[bytes, dict[str, str]]]


class AdminServer:
    """HTTP handlers of the operators' port."""

    def __init__(
        self,
        queries: api.AdminQueries,
        lifecycle: lifecycle_module.Lifecycle,
        feed: feed_module.ChangeFeed,
        render_metrics: MetricsRenderer,
    ) -> None:
        """Sets the sources of the answers.

        Args:
            queries: Queries of the instance.
            lifecycle: Lifecycle state, for the health and readiness checks.
            feed: Feed of the events that watchers receive.
            render_metrics: Renders the metrics for an ``Accept`` header;
                returns the body and its headers.
        """
        self._queries = queries
        self._lifecycle = lifecycle
        self._feed = feed
        self._render_metrics = render_metrics
        self._converter = cattrs.Converter(forbid_extra_keys=True)

    def app(self) -> web.Application:
        """Returns a new aiohttp application with all handlers."""
        app = web.Application()
        app.on_shutdown.append(self._end_watches)
        app.add_routes(
            [
                web.get('/healthz', self._healthz),
                web.get('/readyz', self._readyz),
                web.get('/metrics', self._metrics),
                web.get('/admin/v1/status', self._status),
                web.get('/admin/v1/tables', self._tables),
                web.post('/admin/v1/explain', self._explain),
                web.get('/admin/v1/watch', self._watch),
            ]
        )
        return app

    async def _end_watches(self, app: web.Application) -> None:
        # The runner waits a minute for handlers that do not end.
        self._feed.end()

    async def _healthz(self, request: web.Request) -> web.Response:
        return web.json_response({'state': self._lifecycle.state})

    async def _readyz(self, request: web.Request) -> web.Response:
        ready = self._lifecycle.ready
        return web.json_response(
            {'state': self._lifecycle.state}, status=200 if ready else 503
        )

    async def _metrics(self, request: web.Request) -> web.Response:
        accept = request.headers.get('Accept', '*/*')
        body, headers = self._render_metrics(accept)
        return web.Response(body=body, headers=headers)

    async def _status(self, request: web.Request) -> web.Response:
        return _json_response(self._queries.status())

    async def _tables(self, request: web.Request) -> web.Response:
        return _json_response(self._queries.tables())

    async def _explain(self, request: web.Request) -> web.Response:
        try:
            document = orjson.loads(await request.read())
            query = self._converter.structure(document, api.ExplainQuery)
        except (ValueError, cattrs.BaseValidationError) as exc:
            detail = ' '.join(str(exc).split())
            return _json_response({'detail': detail}, status=400)
        return _json_response(self._queries.explain(query))

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                'Content-Type': 'text/event-stream',
                'Cache-Control': 'no-store',
            }
        )
        await response.prepare(request)
        queue = self._feed.open_watcher()
        try:
            while True:
                try:
                    async with asyncio.timeout(_KEEPALIVE_INTERVAL_S):
                        change = await queue.get()
                except TimeoutError:
                    await response.write(b': keep-alive\n\n')
                    continue
                if change is None:
                    break
                data = orjson.dumps(change, default=str)
                await response.write(b'data: ' + data + b'\n\n')
        except ConnectionError:
            pass
        finally:
            self._feed.close_watcher(queue)
        return response


def _json_response(document: object, status: int = 200) -> web.Response:
    return web.Response(
        body=orjson.dumps(document, default=str),
        status=status,
        content_type='application/json',
    )
