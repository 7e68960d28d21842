"""Base classes between orders and the engines that take them."""

import abc
from collections.abc import Mapping

from dotterelweir_core.orders import plan
from dotterelweir_core.tables import model as tables_model
from dotterelweir_core.targets import model as targets_model


class OrderClient(abc.ABC):
    """Gives orders to engines."""

    @abc.abstractmethod
    async def send_order(
        self,
        target: targets_model.Target,
        order: plan.Order,
        timeout_s: float,
    ) -> None:
        """Gives one order.

        Raises:
            DotterelweirError: TARGET_UNREACHABLE, TARGET_REFUSED when the
                engine has seen a newer fencing number or the order has
                expired, TARGET_FAILED otherwise.
        """


class OrderInputs(abc.ABC):
    """What an instance knows of pools and engines."""

    @abc.abstractmethod
    def pools(self) -> Mapping[str, tables_model.Pool]:
        """The pools table."""

    @abc.abstractmethod
    def targets(self) -> tuple[targets_model.Target, ...]:
        """All live targets, whatever they have loaded."""

    @abc.abstractmethod
    def report(self, target_id: str) -> targets_model.LoadReport | None:
        """The newest load report of a target."""
