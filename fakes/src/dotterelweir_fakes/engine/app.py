"""The HTTP interface of the engine (design section 3.2)."""

import asyncio
from collections.abc import Callable
import random

from aiohttp import web
import attrs
import orjson

from dotterelweir_core import timers
from dotterelweir_core.delivery import prompts
from dotterelweir_core.targets import model as targets_model
from dotterelweir_fakes.engine import batch
from dotterelweir_fakes.engine import cache
from dotterelweir_fakes.engine import faults
from dotterelweir_fakes.engine import orders
from dotterelweir_fakes.engine import streams
from dotterelweir_fakes.engine import tokens

ENGINE = web.AppKey('engine', object)


def _problem(
    status: int, code: str, execution: str | None = None
) -> web.Response:
    document = {'title': code, 'status': status, 'code': code}
    if execution is not None:
        document['execution'] = execution
    return web.Response(
        status=status,
        body=orjson.dumps(document),
        content_type='application/problem+json',
    )


class Engine:
    """State of one engine and its HTTP handlers.

    Args:
        target: Name, incarnation, service and availability zone of the
            engine.
        options: Speed, memory and load reports.
        timer: Source of time.
        on_die: Called when a fault kills the engine, after all connections
            were aborted.
        models: Models that are loaded at the start.

    Attributes:
        faults: Injected faults that have not been applied yet.
        state: Whether the engine is live or leaving.
        leaving_since_s: When it began to leave, in monotonic seconds; None
            if it is live.
        started_after_leaving_s: For each generation that was started while
            the engine was leaving, the time since it began to leave, in
            seconds.
        started: Request ids of the generations that were started, in order.
        cancelled: Request ids of the generations that clients cancelled, in
            order.
        orders: Applies orders and holds what is loaded.
        cache: The prefix cache.
        batcher: Runs the generations.
        generations: Generations that can be read or resumed, by id.
        transports: Open connections.
    """

    def __init__(
        self,
        target: targets_model.Target,
        options: batch.EngineOptions,
        timer: timers.TimerService,
        on_die: Callable[[], None] | None = None,
        models: tuple[str, ...] = (),
    ) -> None:
        self.target = target
        self.options = options
        self.timer = timer
        self.faults = faults.FaultQueue()
        self.state = targets_model.TargetState.LIVE
        self.leaving_since_s: float | None = None
        self.started_after_leaving_s: list[float] = []
        self.started: list[str] = []
        self.cancelled: list[str] = []
        self.orders = orders.Orders(options, timer, models)
        self._on_die = on_die
        self._rng = random.Random(options.seed)
        self.cache = cache.PrefixCache(
            timer,
            random.Random(options.seed + 1),
            options.cache_tokens // prompts.BLOCK_TOKENS,
            options.cache_lag_s,
            options.cache_gap_ratio,
        )
        self.batcher = batch.Batcher(options, timer, self.cache)
        self.generations: dict[str, batch.Generation] = {}
        self.transports: set[asyncio.BaseTransport] = set()
        self._expiry_timers: dict[str, timers.TimerHandle] = {}
        self._reader_counts: dict[str, int] = {}
        self._resume_windows_s: dict[str, float] = {}
        self._reports: list[dict] = [self._measure()]
        self._report_timer = timer.call_every(
            max(0.02, options.report_lag_s / 4), self._record_report
        )

    def make_app(self) -> web.Application:
        """Creates the HTTP application of this engine."""
        app = web.Application(
            middlewares=[self._middleware], client_max_size=16 * 1024 * 1024
        )
        app[ENGINE] = self
        app.add_routes(
            [
                web.post('/v1/chat/completions', self._start),
                web.post('/v1/completions', self._start),
                web.get('/v1/generations/{id}/events', self._resume),
                web.delete('/v1/generations/{id}', self._cancel),
                web.get('/v1/load', self._load),
                web.get('/v1/cache/events', self._cache_events),
                web.put('/v1/desired', self._desired),
                web.post('/faults', self._faults),
                web.delete('/faults', self._clear_faults),
                web.get('/stats', self._stats),
            ]
        )
        return app

    def leave(self) -> None:
        """Marks the engine as leaving; it continues to serve."""
        if self.leaving_since_s is None:
            self.state = targets_model.TargetState.LEAVING
            self.leaving_since_s = self.timer.monotonic_s()

    def die(self) -> None:
        """Aborts every connection, as a killed process would."""
        self.batcher.stop()
        self._report_timer.cancel()
        for transport in tuple(self.transports):
            transport.abort()
        if self._on_die is not None:
            self._on_die()

    def stop(self) -> None:
        """Stops all timers."""
        self.batcher.stop()
        self._report_timer.cancel()
        for handle in self._expiry_timers.values():
            handle.cancel()

    def inject(self, fault: faults.Fault) -> None:
        """Injects one fault."""
        if fault.kind is faults.FaultKind.LEAVE:
            self.leave()
        elif fault.kind is faults.FaultKind.SLOW:
            self.batcher.slow_factor = fault.factor
            if fault.duration_s is not None:
                self.timer.call_after(fault.duration_s, self._reset_speed)
        else:
            self.faults.add(fault)

    def add_reader(self, generation: batch.Generation) -> None:
        """Counts a reader and cancels the expiry of the generation."""
        name = generation.generation_id
        self._reader_counts[name] = self._reader_counts.get(name, 0) + 1
        handle = self._expiry_timers.pop(name, None)
        if handle is not None:
            handle.cancel()

    def remove_reader(self, generation: batch.Generation) -> None:
        """Starts the resume window after the last reader disconnected."""
        name = generation.generation_id
        self._reader_counts[name] -= 1
        if self._reader_counts[name] == 0 and name in self.generations:
            self._expiry_timers[name] = self.timer.call_after(
                self._resume_windows_s[name], lambda: self._drop(generation)
            )

    def _reset_speed(self) -> None:
        self.batcher.slow_factor = 1.0

    def _drop(self, generation: batch.Generation) -> None:
        name = generation.generation_id
        self.generations.pop(name, None)
        self._resume_windows_s.pop(name, None)
        self._reader_counts.pop(name, None)
        handle = self._expiry_timers.pop(name, None)
        if handle is not None:
            handle.cancel()
        self.batcher.remove(generation)
        if not generation.done:
            generation.cancelled = True
            generation.notify()

    @web.middleware
    async def _middleware(
        self, request: web.Request, handler: Callable
    ) -> web.StreamResponse:
        transport = request.transport
        if transport is not None:
            self.transports = {
                t for t in self.transports if not t.is_closing()
            }
            self.transports.add(transport)
        response = await handler(request)
        if not response.prepared:
            response.headers['X-Target-State'] = self.state.value
            response.headers['X-Incarnation'] = str(self.target.incarnation)
            name = request.headers.get('X-Request-Id')
            if name is not None:
                response.headers.setdefault('X-Request-Id', name)
        return response

    async def _start(self, request: web.Request) -> web.StreamResponse:
        fault = self.faults.take('start')
        if fault is not None and fault.kind is faults.FaultKind.REFUSE:
            return _problem(503, 'refused', 'not run')
        try:
            body = orjson.loads(await request.read())
            prompt = prompts.prompt_bytes(body)
            generation = self._make_generation(request, body, prompt)
        except (ValueError, KeyError, AttributeError) as error:
            return _problem(400, f'malformed: {error}', 'not run')
        if generation.prompt_tokens >= self.options.memory_tokens:
            return _problem(413, 'prompt does not fit', 'not run')
        self._record_start(generation)
        self.batcher.add(generation)
        return await streams.send(self, request, generation, -1, fault)

    def _make_generation(
        self, request: web.Request, body: dict, prompt: bytes
    ) -> batch.Generation:
        name = f'{self._rng.getrandbits(64):016x}'
        metadata = body.get('metadata') or {}
        length = int(
            metadata.get('output_tokens') or self.batcher.draw_length()
        )
        bound = body.get('max_tokens') or self.options.longest_output_tokens
        prompt_tokens = prompts.prompt_tokens(prompt)
        capacity_tokens = self.options.memory_tokens - prompt_tokens - 1
        output_tokens = max(1, min(length, int(bound), capacity_tokens))
        chat = request.path.endswith('/chat/completions')
        self._resume_windows_s[name] = float(
            request.headers.get('X-Resume-Window-S', '30')
        )
        return batch.Generation(
            generation_id=name,
            request_id=request.headers.get('X-Request-Id', ''),
            priority=int(request.headers.get('X-Priority', '5')),
            prompt_tokens=prompt_tokens,
            prefix_hashes=prompts.prefix_hashes(prompt),
            output_tokens=output_tokens,
            finish_reason='stop' if output_tokens == length else 'length',
            writer=tokens.EventWriter(name, str(body.get('model', '')), chat),
        )

    def _record_start(self, generation: batch.Generation) -> None:
        self.generations[generation.generation_id] = generation
        self.started.append(generation.request_id)
        if self.leaving_since_s is not None:
            self.started_after_leaving_s.append(
                self.timer.monotonic_s() - self.leaving_since_s
            )

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        fault = self.faults.take('resume')
        if fault is not None and fault.kind is faults.FaultKind.REFUSE:
            return _problem(503, 'refused', 'not run')
        generation = self.generations.get(request.match_info['id'])
        if generation is None or generation.cancelled:
            return _problem(404, 'generation not found')
        try:
            last = int(request.headers.get('Last-Event-ID', '-1'))
        except ValueError:
            return _problem(400, 'malformed Last-Event-ID')
        return await streams.send(self, request, generation, last, fault)

    async def _cancel(self, request: web.Request) -> web.Response:
        generation = self.generations.get(request.match_info['id'])
        if generation is not None:
            self.cancelled.append(generation.request_id)
            self._drop(generation)
        return web.Response(status=204)

    def _measure(self) -> dict:
        return {
            'running': len(self.batcher.running),
            'waiting': len(self.batcher.waiting),
            'memory_used_tokens': self.batcher.memory_used_tokens,
            'memory_total_tokens': self.options.memory_tokens,
            'measured_at_s': self.timer.wall_s(),
        }

    def _record_report(self) -> None:
        self._reports.append(self._measure())
        visible_s = self.timer.wall_s() - self.options.report_lag_s
        while (
            len(self._reports) > 1
            and self._reports[1]['measured_at_s'] <= visible_s
        ):
            self._reports.pop(0)

    async def _load(self, request: web.Request) -> web.Response:
        report = {
            'target_id': self.target.target_id,
            'incarnation': self.target.incarnation,
            'state': self.state.value,
            **self._reports[0],
            **self.orders.state,
        }
        return web.json_response(body=orjson.dumps(report))

    async def _cache_events(self, request: web.Request) -> web.Response:
        start = int(request.query.get('from', '0'))
        return web.json_response(
            body=orjson.dumps(self.cache.events_from(start))
        )

    async def _desired(self, request: web.Request) -> web.Response:
        order = orjson.loads(await request.read())
        refusal = self.orders.apply(order)
        if refusal is not None:
            return _problem(409, refusal, 'not run')
        return web.Response(status=202)

    async def _faults(self, request: web.Request) -> web.Response:
        document = orjson.loads(await request.read())
        try:
            self.inject(faults.structure(document))
        except Exception as error:
            return _problem(400, f'malformed fault: {error}')
        return web.Response(status=204)

    async def _clear_faults(self, request: web.Request) -> web.Response:
        self.faults.clear()
        self._reset_speed()
        return web.Response(status=204)

    async def _stats(self, request: web.Request) -> web.Response:
        stats = {
            'started': len(self.started),
            'cancelled': len(self.cancelled),
            'preemptions': self.batcher.preemptions,
            'tokens_produced': self.batcher.tokens_produced,
            'started_after_leaving_s': self.started_after_leaving_s,
            **self._measure(),
        }
        return web.json_response(body=orjson.dumps(stats))


@attrs.define
class EngineServer:
    """An engine that listens on a TCP port.

    Attributes:
        engine: The engine.
        runner: Runner of its HTTP application.
        site: Its listening socket.
        target: Its name and address, including the port in use.
    """

    engine: Engine
    runner: web.AppRunner
    site: web.TCPSite
    target: targets_model.Target

    def die(self) -> None:
        """Aborts every connection, as a killed process would."""
        self.engine.die()

    async def stop(self) -> None:
        """Stops the engine and closes its socket and connections."""
        self.engine.stop()
        await self.runner.cleanup()


async def start_server(
    target: targets_model.Target,
    options: batch.EngineOptions,
    timer: timers.TimerService,
    on_die: Callable[[], None] | None = None,
    models: tuple[str, ...] = (),
) -> EngineServer:
    """Starts an engine in this process.

    Args:
        target: Its name and address; port 0 selects a free port.
        options: Speed, memory and load reports.
        timer: Source of time.
        on_die: Called when a fault kills the engine; by default it stops
            listening.
        models: Models that are loaded at the start.

    Returns:
        The running engine with the port in use.
    """
    engine = Engine(target, options, timer, on_die, models)
    runner = web.AppRunner(
        engine.make_app(),
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=0.1,
    )
    await runner.setup()
    site = web.TCPSite(runner, target.host, target.port)
    await site.start()
    port = runner.addresses[0][1]
    server = EngineServer(
        engine, runner, site, attrs.evolve(target, port=port)
    )
    if on_die is None:
        listener = site._server  # aiohttp has no synchronous close method.

        def stop_listening() -> None:
            if listener is not None:
                listener.close()

        engine._on_die = stop_listening
    return server
