"""Instances and engines in one process, over real loopback sockets."""

import asyncio
import random

import aiohttp
from aiohttp import web
import attrs
import pytest

from dotterelweir_core import errors
from dotterelweir_core.delivery import resume
from dotterelweir_core.delivery import retries
from dotterelweir_core.policy import api as policy_api
from dotterelweir_core.tables import matching
from dotterelweir_core.tables import model as tables_model
from dotterelweir_core.targets import model as targets_model
from dotterelweir_fakes.engine import app as engine_app
from dotterelweir_fakes.engine import batch
from dotterelweir_fakes.engine import faults
from dotterelweird import dispatch
from dotterelweird import metrics
from dotterelweird import timers
from dotterelweird.callers import api
from dotterelweird.callers import server
from dotterelweird.settings import model as settings_model
from dotterelweird.targets import engine as engine_client

KEYS = ('a-key-of-sixteen-bytes',)


class FirstTargetScheduler(policy_api.Scheduler):
    """Places each request immediately on the first target not excluded.

    If ``rng`` is set, a random target that is not excluded is used instead.
    """

    def __init__(self):
        self.targets = ()
        self.hedged = False
        self.holds_requests = False
        self.rng = None
        self.decisions = []
        self.ends = []
        self.tokens = 0

    def set_targets(self, pool, targets, now_s):
        self.targets = targets

    def submit(self, item, now_s):
        if self.holds_requests:
            return
        names = [
            target.target_id
            for target in self.targets
            if target.target_id not in item.excluded
        ]
        if self.rng is not None:
            self.rng.shuffle(names)
        for hedge, name in enumerate(names[: 2 if self.hedged else 1]):
            self.decisions.append(
                policy_api.Placement(
                    item.request_id,
                    name,
                    item.priority,
                    'first',
                    hedge=bool(hedge),
                )
            )
        if not names:
            self.decisions.append(
                policy_api.Refusal(
                    item.request_id,
                    errors.ErrorKind.POOL_EMPTY,
                    2.5,
                    'no target is left',
                )
            )

    def cancel(self, request_id, now_s):
        pass

    def decide(self, now_s):
        decisions, self.decisions = self.decisions, []
        return decisions

    def next_wakeup_s(self):
        return None

    def explain(self, item, now_s):
        return policy_api.Explanation(None, ())

    def record_report(self, report, now_s):
        pass

    def record_first_token(self, request_id, target_id, now_s):
        self.tokens += 1

    def record_tokens(self, request_id, target_id, count, now_s):
        self.tokens += count

    def record_end(self, request_id, target_id, end, now_s):
        self.ends.append((target_id, end.value))


class EchoService(api.ServiceCallHandler):
    """Answers with the body of the call."""

    async def handle(self, request, route, item, body):
        if body == b'fail':
            raise RuntimeError('a fault in the code')
        return web.Response(body=body)


@attrs.define
class Instance:
    """The callers' side of an instance, without the rest of the daemon."""

    components: api.CallerComponents
    scheduler: FirstTargetScheduler
    runner: web.AppRunner
    session: aiohttp.ClientSession
    refusal_reasons: list

    @property
    def url(self):
        return f'http://127.0.0.1:{self.runner.addresses[0][1]}'

    def hand_over(self):
        self.refusal_reasons.append(errors.ErrorKind.SHUTTING_DOWN)
        self.components.in_flight.hand_over()


class Cluster:
    """Engines and instances of one test."""

    def __init__(self):
        self.timer = timers.LoopTimerService(asyncio.get_running_loop())
        self.engines = {}
        self._cleanups = []

    async def add_engine(self, name='e1', incarnation=1, **options):
        options = {'step_s': 0.001, 'report_lag_s': 0.1} | options
        target = targets_model.Target(
            name, incarnation, 'llm', 'a', '127.0.0.1', 0
        )
        engine = await engine_app.start_server(
            target, batch.EngineOptions(**options), self.timer
        )
        self.engines[name] = engine
        self._cleanups.append(engine.stop)
        return engine

    async def add_instance(self, name='i1', route=None, **settings):
        settings = settings_model.Settings(
            name,
            'a',
            settings_model.Platform('http://none', 'http://none'),
            settings_model.Peers(keys=KEYS),
            callers=settings.pop('callers', settings_model.Callers()),
            delivery=settings_model.Delivery(
                **{'stall_timeout_s': 0.2, 'resume_window_s': 5.0} | settings
            ),
        )
        scheduler = FirstTargetScheduler()
        dispatcher = dispatch.Dispatcher(scheduler, self.timer)
        dispatcher.set_targets(
            'llm', tuple(e.target for e in self.engines.values())
        )
        session = engine_client.make_session(settings.delivery)
        rng = random.Random(1)
        refusal_reasons = []
        tables = _tables(route or {})
        components = api.CallerComponents(
            settings=settings,
            timer=self.timer,
            rng=rng,
            dispatcher=dispatcher,
            engines=engine_client.HttpEngineClient(
                session, settings.delivery, self.timer, rng
            ),
            services=EchoService(),
            tables=lambda: tables,
            match_route=matching.match_route,
            find_target=self._find_target,
            codec=resume.ResumeCodec(KEYS),
            refusal_reason=lambda: (
                refusal_reasons[0] if refusal_reasons else None
            ),
            unready_reason=lambda: (
                refusal_reasons[0] if refusal_reasons else None
            ),
            metrics=metrics.Metrics(),
            retry_budget=retries.RetryBudget(settings.delivery.retry_ratio),
        )
        runner = server.make_runner(components)
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        caller = aiohttp.ClientSession(
            f'http://127.0.0.1:{runner.addresses[0][1]}',
            headers={'X-Organisation': 'acme'},
        )
        self._cleanups += [runner.cleanup, session.close, caller.close]
        return Instance(components, scheduler, runner, caller, refusal_reasons)

    def _find_target(self, name, incarnation):
        engine = self.engines.get(name)
        if engine is None:
            return None
        found = engine.target
        differs = incarnation not in (None, found.incarnation)
        return None if differs else found

    async def close(self):
        for run_cleanup in reversed(self._cleanups):
            await run_cleanup()


def _tables(route):
    fields = {
        'name': 'chat',
        'match': tables_model.Match('/v1/'),
        'pool': 'llm',
    }
    chat = tables_model.Route(**fields | route)
    shop = tables_model.Route(
        'shop', tables_model.Match('/shop'), 'shop', order=1
    )
    pools = (
        tables_model.Pool('llm', targets_model.TargetKind.ENGINE, 'llm'),
        tables_model.Pool('shop', targets_model.TargetKind.SERVICE, 'shop'),
    )
    return tables_model.Tables(
        {'chat': chat, 'shop': shop}, {pool.name: pool for pool in pools}, 1
    )


@pytest.fixture
async def cluster():
    built = Cluster()
    yield built
    await built.close()


@pytest.fixture
def body():
    """Returns a function that makes the body of a chat request."""

    def make(tokens=6, stream=True, **fields):
        return {
            'model': 'm',
            'messages': [{'role': 'user', 'content': 'hello'}],
            'metadata': {'output_tokens': str(tokens)},
            'stream': stream,
        } | fields

    return make


@pytest.fixture
def fault():
    """Returns a function that makes a fault of the engine."""

    def make(kind, **fields):
        return faults.Fault(faults.FaultKind(kind), **fields)

    return make


@pytest.fixture
def eventually():
    """Returns a function that waits until a condition holds."""

    async def wait(condition, timeout_s=5.0):
        loop = asyncio.get_running_loop()
        met = loop.create_future()

        def check():
            if not met.done() and condition():
                met.set_result(None)

        handle = timers.LoopTimerService(loop).call_every(0.002, check)
        try:
            await asyncio.wait_for(met, timeout_s)
        finally:
            handle.cancel()

    return wait
