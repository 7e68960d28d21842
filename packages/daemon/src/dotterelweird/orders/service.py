"""Issues orders to the engines of the pools whose lease is held."""

import asyncio
import logging

import attrs

from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core import timers
from dotterelweir_core.orders import plan
from dotterelweir_core.tables import model as tables_model
from dotterelweir_logservice import api as platform_api
from dotterelweird import timers as daemon_timers
from dotterelweird.orders import api as orders_api
from dotterelweird.orders import leases as lease_manager

LOG = logging.getLogger(__name__)

RECONCILE_PERIOD_S = 1.0
ORDER_EXPIRY_S = 5.0
ORDER_TIMEOUT_S = 2.0
# Engines may restart a load at each order, and a load can take many minutes.
# Orders that load weights are therefore repeated after a long interval, which
# doubles at each repetition up to a limit.
LOAD_REPEAT_INTERVAL_S = 60.0
LOAD_REPEAT_DOUBLINGS_MAX = 6
# Maximum number of concurrent orders for one pool.
CONCURRENT_ORDERS_MAX = 16


@attrs.frozen
class _OrderHistory:
    """The orders that were sent for one difference.

    Attributes:
        last_sent_s: When the last one was sent, in monotonic seconds.
        count: Number of orders sent.
    """

    last_sent_s: float
    count: int


class OrdersService:
    """Brings engines to the states that the pools table requires.

    Every instance runs the service. The lease of a pool lets only one of them
    at a time issue orders for that pool.
    """

    def __init__(
        self,
        timer: timers.TimerService,
        leases: lease_manager.LeaseManager,
        inputs: orders_api.OrderInputs,
        client: orders_api.OrderClient,
        weights: platform_api.WeightStore,
    ) -> None:
        """Creates the service; ``start`` begins to issue orders.

        Args:
            timer: Clock and timers.
            leases: Manager of the leases of the pools.
            inputs: Pools, targets and their load reports.
            client: Client that sends orders to engines.
            weights: Weight store, which determines when a load may start.
        """
        self._timer = timer
        self._leases = leases
        self._inputs = inputs
        self._client = client
        self._weights = weights
        self._permitted_at_s: dict[plan.Difference, float] = {}
        self._order_history: dict[plan.Difference, _OrderHistory] = {}
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Begins to acquire leases and to issue orders."""
        self._leases.start()
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Stops issuing orders and renewing leases."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])
        await self._leases.stop()

    async def _run(self) -> None:
        while True:
            pools = {
                name: pool
                for name, pool in self._inputs.pools().items()
                if pool.model
            }
            self._leases.acquire_or_renew(
                plan.lease_name(name) for name in pools
            )
            await self._issue_orders(pools)
            await daemon_timers.sleep(self._timer, RECONCILE_PERIOD_S)

    async def _issue_orders(self, pools: dict[str, tables_model.Pool]) -> None:
        unresolved: set[plan.Difference] = set()
        for name, pool in pools.items():
            lease = self._leases.held(plan.lease_name(name))
            if lease is None:
                continue
            desired = plan.desired_states(name, pools, self._inputs.targets())
            reports = {
                target.target_id: report
                for target in desired
                if (report := self._inputs.report(target.target_id))
                is not None
            }
            differences = plan.reconcile(desired, reports)
            unresolved.update(differences)
            # An engine that does not check fencing tokens may still accept an
            # order of the previous holder until that order has expired.
            if (
                not pool.checks_fencing
                and lease.acquired_at.elapsed_s(self._timer) < ORDER_EXPIRY_S
            ):
                continue
            due = [each for each in differences if self._is_due(each)]
            await asyncio.gather(
                *(
                    self._issue_order(name, lease.fencing, difference)
                    for difference in due[:CONCURRENT_ORDERS_MAX]
                )
            )
        self._discard_all_except(unresolved)

    def _discard_all_except(self, differences: set[plan.Difference]) -> None:
        for records in (self._permitted_at_s, self._order_history):
            for difference in records.keys() - differences:
                del records[difference]

    def _is_due(self, difference: plan.Difference) -> bool:
        """Returns whether the repeat interval of its last order has passed."""
        history = self._order_history.get(difference)
        if history is None:
            return True
        repeat_interval_s = ORDER_EXPIRY_S
        if difference.loads_weights:
            doublings = min(history.count - 1, LOAD_REPEAT_DOUBLINGS_MAX)
            repeat_interval_s = LOAD_REPEAT_INTERVAL_S * 2.0**doublings
        return (
            self._timer.monotonic_s() - history.last_sent_s
            >= repeat_interval_s
        )

    async def _issue_order(
        self, pool: str, fencing: int, difference: plan.Difference
    ) -> None:
        try:
            if difference.loads_weights and not await self._is_load_permitted(
                difference
            ):
                return
            # The expiry is set before the lease is checked, so that an order
            # that is sent late because of a pause after the check is expired.
            order = plan.Order(
                difference.desired,
                fencing,
                self._timer.wall_s() + ORDER_EXPIRY_S,
            )
            lease = self._leases.held(plan.lease_name(pool))
            if lease is None or lease.fencing != fencing:
                return
            previous = self._order_history.get(difference)
            self._order_history[difference] = _OrderHistory(
                self._timer.monotonic_s(),
                1 if previous is None else previous.count + 1,
            )
            await self._client.send_order(
                difference.target, order, ORDER_TIMEOUT_S
            )
        except errors.DotterelweirError as error:
            if error.execution is errors.Execution.NOT_RUN:
                # The engine did not accept the order, so it is sent again in
                # the next period.
                self._order_history.pop(difference, None)
            events.log(
                LOG,
                events.ORDER_FAILED,
                pool=pool,
                target_id=difference.target.target_id,
                fencing=fencing,
                code=error.kind.value,
                detail=error.detail,
            )
            return
        events.log(
            LOG,
            events.ORDER_GIVEN,
            pool=pool,
            target_id=difference.target.target_id,
            fencing=fencing,
            version=order.desired.version,
            expires_at_s=order.expires_at_s,
        )

    async def _is_load_permitted(self, difference: plan.Difference) -> bool:
        permitted_at_s = self._permitted_at_s.get(difference)
        if permitted_at_s is None:
            grant = await self._weights.grant(difference.desired.models[0])
            permitted_at_s = grant.permitted_at_s
            self._permitted_at_s[difference] = permitted_at_s
        return permitted_at_s <= self._timer.wall_s()
