"""Inputs of orders from the tables and the registry of targets."""

from collections.abc import Callable
from collections.abc import Mapping

from dotterelweir_core.tables import model as tables_model
from dotterelweir_core.targets import model as targets_model
from dotterelweir_core.targets import registry as target_registry
from dotterelweird.orders import api as orders_api


class RegistryInputs(orders_api.OrderInputs):
    """Inputs from the tables and the registry of this instance."""

    def __init__(
        self,
        tables: Callable[[], tables_model.Tables],
        registry: target_registry.TargetRegistry,
    ) -> None:
        """Creates the inputs.

        Args:
            tables: Returns the current tables.
            registry: Registry of targets.
        """
        self._tables = tables
        self._registry = registry

    def pools(self) -> Mapping[str, tables_model.Pool]:
        return self._tables().pools

    def targets(self) -> tuple[targets_model.Target, ...]:
        return tuple(
            status.target
            for status in self._registry.statuses()
            if status.state is targets_model.TargetState.LIVE
        )

    def report(self, target_id: str) -> targets_model.LoadReport | None:
        status = self._registry.status(target_id)
        return None if status is None else status.report
