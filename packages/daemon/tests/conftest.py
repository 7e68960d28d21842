"""Fixtures of service calls: the real call path to fake services."""

import socket

from aiohttp import web
import attrs
import pytest_asyncio

from dotterelweir_core import errors
from dotterelweir_core import timers
from dotterelweir_core.delivery import retries
from dotterelweir_core.policy import api as policy_api
from dotterelweir_core.tables import model as tables_model
from dotterelweir_core.targets import model as targets_model
from dotterelweir_fakes import service as fake_service
from dotterelweird import dispatch
from dotterelweird.callers import inflight
from dotterelweird.callers import service_attempts
from dotterelweird.callers import service_calls
from dotterelweird.claims import api as claims_api
from dotterelweird.targets import service as service_adapter


class FirstFitScheduler(policy_api.Scheduler):
    """Places each request at once on the first target not excluded.

    Args:
        target_ids: Names of the targets, in the order of their use.

    Attributes:
        target_ids: Names of the targets, in the order of their use.
        holds_requests: Whether requests wait instead of being placed.
        waiting: Requests without a decision.
        ends: Target and end of each attempt that ended.
    """

    def __init__(self, target_ids: list[str]) -> None:
        self.target_ids = target_ids
        self.holds_requests = False
        self.waiting: list[policy_api.WorkItem] = []
        self.ends: list[tuple[str, policy_api.AttemptEnd]] = []

    def set_targets(self, pool, targets, now_s):
        """Not used."""

    def submit(self, item, now_s):
        self.waiting.append(item)

    def cancel(self, request_id, now_s):
        self.waiting = [
            item for item in self.waiting if item.request_id != request_id
        ]

    def decide(self, now_s):
        if self.holds_requests:
            return []
        items, self.waiting = self.waiting, []
        return [self._decide(item) for item in items]

    def _decide(self, item):
        for target_id in self.target_ids:
            if target_id not in item.excluded:
                return policy_api.Placement(
                    item.request_id, target_id, 5, 'first'
                )
        return policy_api.Refusal(
            item.request_id, errors.ErrorKind.POOL_EMPTY, 1.0, 'none left'
        )

    def next_wakeup_s(self):
        return None

    def explain(self, item, now_s):
        return policy_api.Explanation(self._decide(item), ())

    def record_report(self, report, now_s):
        """Not used."""

    def record_first_token(self, request_id, target_id, now_s):
        """Not used."""

    def record_tokens(self, request_id, target_id, count, now_s):
        """Not used."""

    def record_end(self, request_id, target_id, end, now_s):
        self.ends.append((target_id, end))


class NoClaims(claims_api.Claims):
    """Fails the test when a call claims a key unexpectedly."""

    async def claim(self, request):
        raise AssertionError('no claim expected')


@attrs.define
class ServiceOutcome:
    """The outcome of a call and its effects.

    Attributes:
        response: The response, or None after an error.
        error: The error, or None after a response.
        executions: Executions over all services, by business key.
        executions_per_attempt: Executions over all services, by attempt.
        ends: Target and end of each attempt.
        states: States that the targets reported in their answers.
    """

    response: web.Response | None
    error: errors.DotterelweirError | None
    executions: dict[str, int]
    executions_per_attempt: dict[str, int]
    ends: list[tuple[str, policy_api.AttemptEnd]]
    states: list[targets_model.TargetState]


@attrs.define
class ServiceHarness:
    """The service calls of one instance, with fake services as targets.

    Attributes:
        targets: The services, by target name.
        states: State of each fake service that was started.
        calls: The tested call path.
        scheduler: Scheduler that places the calls.
        reported_states: States that the targets reported in their answers.
        timer: Clock and timers.
        in_flight: Tracks the calls that are being answered.
    """

    targets: dict[str, targets_model.Target]
    states: list[fake_service.ServiceState]
    calls: service_calls.ServiceCalls
    scheduler: FirstFitScheduler
    reported_states: list[targets_model.TargetState]
    timer: timers.TimerService
    in_flight: inflight.InFlight

    async def call(
        self,
        route: tables_model.Route,
        request: service_attempts.CallerRequest,
        timeout_s: float = 30.0,
        request_id: str = 'r1',
    ) -> ServiceOutcome:
        """Makes one call and waits for its end.

        Args:
            route: Route of the call.
            request: The request of the caller.
            timeout_s: Time until the deadline of the call, in seconds.
            request_id: Name of the call.
        """
        now_s = self.timer.monotonic_s()
        item = policy_api.WorkItem(
            request_id=request_id,
            route=route.name,
            pool=route.pool,
            organisation='acme',
            priority=5,
            prompt_tokens=0,
            max_output_tokens=None,
            prefix_hashes=(),
            arrived_s=now_s,
            deadline_s=now_s + timeout_s,
            repeatable=route.repeatable,
        )
        response, error = None, None
        try:
            response = await self.calls.call(route, item, request)
        except errors.DotterelweirError as caught:
            error = caught
        executions: dict[str, int] = {}
        executions_per_attempt: dict[str, int] = {}
        for state in self.states:
            for key, count in state.by_business_key.items():
                executions[key] = executions.get(key, 0) + count
            for name, count in state.by_request_id.items():
                executions_per_attempt[name] = (
                    executions_per_attempt.get(name, 0) + count
                )
        return ServiceOutcome(
            response,
            error,
            executions,
            executions_per_attempt,
            self.scheduler.ends,
            self.reported_states,
        )


def _unused_port() -> int:
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


@pytest_asyncio.fixture
async def service_harness():
    """Returns a function that creates a harness.

    Its positional arguments are the faults of each service; ``None`` stands
    for a service that refuses connections. With ``shared``, the harness also
    uses the services of another one.
    """
    runners: list[web.AppRunner] = []
    clients: list[service_adapter.HttpServiceClient] = []

    async def start(target_id: str, fault_names: list[str]):
        state = fake_service.ServiceState(target_id, on_crash=lambda: None)
        state.faults.extend(fake_service.Fault(name) for name in fault_names)
        # A real service continues when its caller disconnects, unlike a
        # handler in aiohttp's test server.
        runner = web.AppRunner(
            fake_service.create_app(state), shutdown_timeout=0.0
        )
        await runner.setup()
        runners.append(runner)
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        return state, runner.addresses[0][1]

    async def make(
        *faults: list[str] | None,
        retry_ratio: float = 1.0,
        claims: claims_api.Claims | None = None,
        timer: timers.TimerService | None = None,
        shared: ServiceHarness | None = None,
    ) -> ServiceHarness:
        targets = {} if shared is None else shared.targets
        states = [] if shared is None else shared.states
        for number, fault_names in enumerate(faults):
            target_id = f'shop-{number}'
            if fault_names is None:
                port = _unused_port()
            else:
                state, port = await start(target_id, fault_names)
                states.append(state)
            targets[target_id] = targets_model.Target(
                target_id, 1, 'dealer-shop', 'poznan-a', '127.0.0.1', port
            )
        in_flight = inflight.InFlight()
        timer = timer or timers.VirtualTimerService()
        scheduler = FirstFitScheduler(list(targets))
        client = service_adapter.HttpServiceClient(1.0)
        clients.append(client)
        seen: list[targets_model.TargetState] = []
        attempts = service_attempts.ServiceAttempts(
            dispatch.Dispatcher(scheduler, timer),
            client,
            lambda target_id, incarnation: targets.get(target_id),
            timer,
            retries.RetryBudget(retry_ratio),
            lambda target, state: seen.append(state),
        )
        calls = service_calls.ServiceCalls(
            attempts, claims or NoClaims(), in_flight
        )
        return ServiceHarness(
            targets, states, calls, scheduler, seen, timer, in_flight
        )

    yield make
    for client in clients:
        await client.close()
    for runner in runners:
        await runner.cleanup()
