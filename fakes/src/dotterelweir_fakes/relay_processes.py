"""The processes that ``relay_cost`` compares."""

import asyncio
import os
import random
import signal
import sys

import aiohttp
from aiohttp import web

from dotterelweir_core.delivery import resume
from dotterelweir_core.delivery import retries
from dotterelweir_core.policy import scheduler
from dotterelweir_core.policy import settings as policy_settings
from dotterelweir_core.tables import matching
from dotterelweir_core.tables import model as tables_model
from dotterelweir_core.targets import model as targets_model
from dotterelweir_fakes import relay_cost
from dotterelweir_fakes.engine import tokens
from dotterelweird import dispatch
from dotterelweird import logs
from dotterelweird import metrics
from dotterelweird import timers
from dotterelweird.callers import api
from dotterelweird.callers import server
from dotterelweird.settings import model as settings_model
from dotterelweird.targets import engine

_KEY = 'a-key-of-sixteen-bytes'
_PATH = '/v1/chat/completions'
# Time between two tokens of a stream, as from an engine.
_STEP_S = 0.02


class _Source:
    """Sends each stream one token per step, as a batching engine does."""

    def __init__(self, count: int) -> None:
        writer = tokens.EventWriter('0123456789abcdef', 'm', True)
        events = [writer.token(index) for index in range(count)]
        self._events = [*events, writer.finish(count, 'stop')]
        self._short = [events[0], writer.finish(1, 'stop')]

    async def answer(self, request: web.Request) -> web.StreamResponse:
        """Answers one request."""
        short = b'"short"' in await request.read()
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
        for event in self._short if short else self._events:
            await response.write(event)
            due_s += 0.0 if short else _STEP_S
            delay_s = due_s - loop.time()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
        await response.write(tokens.END_MARK)
        await response.write_eof()
        return response


async def _source(count: str) -> web.AppRunner:
    app = web.Application()
    source = _Source(int(count))
    app.router.add_post(_PATH, source.answer)
    app.router.add_get('/usage', relay_cost.usage)
    return web.AppRunner(app, access_log=None)


def _add_common(app: web.Application, session: aiohttp.ClientSession) -> None:
    async def close(app: web.Application) -> None:
        await session.close()

    app.router.add_get('/usage', relay_cost.usage)
    app.on_cleanup.append(close)


async def _bare(url: str) -> web.AppRunner:
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(total=None),
    )

    async def answer(request: web.Request) -> web.StreamResponse:
        body = await request.read()
        out = web.StreamResponse(headers={'Content-Type': 'text/event-stream'})
        async with session.post(url + request.path, data=body) as response:
            await out.prepare(request)
            async for chunk in response.content.iter_any():
                await out.write(chunk)
        await out.write_eof()
        return out

    app = web.Application()
    app.router.add_post(_PATH, answer)
    _add_common(app, session)
    return web.AppRunner(app, access_log=None)


class _NoServices(api.ServiceCallHandler):
    async def handle(self, request, route, item, body):
        raise NotImplementedError


async def _relay(url: str) -> web.AppRunner:
    host, _, port = url.removeprefix('http://').partition(':')
    target = targets_model.Target('e1', 1, 'llm', 'a', host, int(port))
    timer = timers.LoopTimerService(asyncio.get_running_loop())
    rng = random.Random(1)
    settings = settings_model.Settings(
        'i1',
        'a',
        settings_model.Platform('http://none', 'http://none'),
        settings_model.Peers(keys=(_KEY,)),
    )
    dispatcher = dispatch.Dispatcher(
        scheduler.PolicyScheduler(policy_settings.PolicySettings(), rng, 'a'),
        timer,
    )
    dispatcher.set_targets('llm', (target,))
    dispatcher.record_report(
        targets_model.LoadReport(
            'e1',
            1,
            memory_total_tokens=1 << 24,
            measured_at_s=timer.wall_s(),
        )
    )
    route = tables_model.Route('chat', tables_model.Match(), 'llm')
    pool = tables_model.Pool('llm', targets_model.TargetKind.ENGINE, 'llm')
    tables = tables_model.Tables({'chat': route}, {'llm': pool}, 1)
    session = engine.make_session(settings.delivery)
    parts = api.CallerParts(
        settings=settings,
        timer=timer,
        rng=rng,
        dispatcher=dispatcher,
        engines=engine.HttpEngineClient(
            session, settings.delivery, timer, rng
        ),
        services=_NoServices(),
        tables=lambda: tables,
        match_route=matching.match_route,
        find_target=lambda name, incarnation: target,
        codec=resume.ResumeCodec((_KEY,)),
        refusal=lambda: None,
        unready=lambda: None,
        metrics=metrics.Metrics(),
        retry_budget=retries.RetryBudget(0.2),
    )
    runner = server.make_runner(parts)
    _add_common(runner.app, session)
    return runner


_ROLES = {'source': _source, 'bare': _bare, 'relay': _relay}


async def _serve(role: str, argument: str) -> None:
    runner = await _ROLES[role](argument)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    print(runner.addresses[0][1], flush=True)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    await stopped.wait()
    await runner.cleanup()


def main() -> None:
    """Runs one role until SIGTERM."""
    if sys.argv[1] == 'relay':
        # The instance logs each request, which is part of its cost.
        logs.configure('INFO', 'i1', 'a', open(os.devnull, 'w'))
    asyncio.run(_serve(sys.argv[1], sys.argv[2]))


if __name__ == '__main__':
    main()
