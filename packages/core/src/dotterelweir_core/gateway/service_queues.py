"""The queues of an instance, and what it tells others about them.

Needed at peak load, when generations wait at several instances for the same
engines, see ``service_order``.
"""

from collections.abc import Callable
from collections.abc import Iterable

from dotterelweir_core.gateway import service_order
from dotterelweir_core.gateway import waiting


class ServiceQueues:
    """Queues of all services, one for each kind of generations.

    Args:
        order: The order at all instances.
    """

    def __init__(self, order: service_order.ServiceOrder) -> None:
        self.order = order
        self._queues: dict[tuple[str, bool], waiting.RequestQueue] = {}
        self._listeners: list[Callable[[], None]] = []

    def __len__(self) -> int:
        return sum(map(len, self._queues.values()))

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Registers a function to call when others must know of a change."""
        self._listeners.append(listener)

    def get(
        self, service: str, prefill_bound: bool, ordered: bool
    ) -> waiting.RequestQueue:
        """Returns a queue.

        Args:
            service: Name of the service.
            prefill_bound: Whether its generations are prefill-bound.
            ordered: Whether the generations of the service differ in
                priority.
        """
        queue = self._queues.get((service, prefill_bound))
        if queue is None:
            service_hash = service_order.hash_name(service)
            queue, sibling = (
                waiting.RequestQueue(
                    service_order.QueueKey(service_hash, kind)
                )
                for kind in (prefill_bound, not prefill_bound)
            )
            queue.sibling, sibling.sibling = sibling, queue
            self._queues[service, prefill_bound] = queue
            self._queues[service, not prefill_bound] = sibling
        if not queue:
            # A change of the configuration acts on queues that are empty, so
            # that the organisations that wait are counted right.
            queue.order = self.order if ordered else None
        return queue

    def add(
        self,
        queue: waiting.RequestQueue,
        entry: waiting.QueueEntry,
        now_s: float,
    ) -> None:
        """Adds a request to a queue and tells others if it is the head.

        Args:
            queue: The queue.
            entry: The request.
            now_s: Monotonic time, in seconds.
        """
        queue.add(entry)
        if queue.is_next(entry, now_s):
            self._notify(queue)

    def remove(
        self,
        queue: waiting.RequestQueue,
        entry: waiting.QueueEntry,
        now_s: float,
    ) -> None:
        """Removes a request from a queue and tells others if it was the head.

        Args:
            queue: The queue.
            entry: The request.
            now_s: Monotonic time, in seconds.
        """
        was_head = queue.is_next(entry, now_s)
        queue.remove(entry)
        if was_head:
            self._notify(queue)

    def _notify(self, queue: waiting.RequestQueue) -> None:
        if queue.order is not None:
            for listener in self._listeners:
                listener()

    def own_state(self, now_s: float) -> service_order.WaitingState | None:
        """Returns what others are told; None if no request waits.

        Args:
            now_s: Monotonic time, in seconds.
        """
        heads = tuple(
            head
            for queue in self._queues.values()
            if queue and (head := queue.own_head(now_s)) is not None
        )
        if not heads:
            return None
        return service_order.WaitingState(heads, self.order.own_uses(now_s))

    def count_waiting(self, service: str) -> int:
        """Returns how many requests of a service wait."""
        return sum(
            len(queue)
            for (name, _), queue in self._queues.items()
            if name == service
        )

    def items(self) -> Iterable[tuple[tuple[str, bool], waiting.RequestQueue]]:
        """Returns the queues with their services and kinds."""
        return self._queues.items()
