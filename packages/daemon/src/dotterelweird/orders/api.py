"""Base classes for the inputs and the delivery of orders."""

import abc
from collections.abc import Mapping

from dotterelweir_core.orders import plan
from dotterelweir_core.tables import model as tables_model
from dotterelweir_core.targets import model as targets_model


class OrderClient(abc.ABC):
    """Client that sends orders to engines."""

    @abc.abstractmethod
    async def send_order(
        self,
        target: targets_model.Target,
        order: plan.Order,
        timeout_s: float,
    ) -> None:
        """Sends one order and waits until the engine has accepted it.

        Args:
            target: The engine.
            order: The order.
            timeout_s: Limit on the whole call, in seconds.

        Raises:
            DotterelweirError: TARGET_UNREACHABLE if no connection was
                established, TARGET_REFUSED if the engine refused the order,
                such as for a newer fencing token or because it has expired,
                TARGET_FAILED otherwise.
        """


class OrderInputs(abc.ABC):
    """The pools, engines and load reports that an instance knows."""

    @abc.abstractmethod
    def pools(self) -> Mapping[str, tables_model.Pool]:
        """Returns the pools table: pools by name."""

    @abc.abstractmethod
    def targets(self) -> tuple[targets_model.Target, ...]:
        """Returns all live targets, regardless of the models they have."""

    @abc.abstractmethod
    def report(self, target_id: str) -> targets_model.LoadReport | None:
        """Returns the newest load report of a target, or None."""
