"""Prometheus metrics of one instance."""

import aioprometheus
from aioprometheus import renderer


class Metrics:
    """All metrics of the process.

    Attributes:
        requests: Number of requests that ended, by route and outcome.
        refusals: Number of refused requests, by error kind.
        memory_refusals: Number of requests refused for lack of memory, by
            reason.
        closed_callers: Number of callers' connections that were closed for
            what they held, by reason.
        attempts: Number of attempts at targets, by target and end.
        tokens: Number of tokens delivered to callers, by route.
        resumes: Number of generations resumed on their engine.
        first_token_s: Time to the first token, in seconds.
        queue_requests: Number of requests that wait for a target.
        running_requests: Number of attempts in flight.
        table_revision: Offset of the record that last changed the tables.
        table_age_s: Time since the log was last read, in seconds.
        peers: Number of members, by state.
        datagrams_dropped: Number of datagrams dropped, by reason.
        state: 1 for the current state of the lifecycle, 0 for the others.
    """

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()
        self.requests = self._counter(
            'dotterelweir_requests_total', 'Requests that ended'
        )
        self.refusals = self._counter(
            'dotterelweir_refusals_total', 'Refused requests'
        )
        self.memory_refusals = self._counter(
            'dotterelweir_memory_refusals_total',
            'Requests refused for lack of memory',
        )
        self.closed_callers = self._counter(
            'dotterelweir_closed_callers_total',
            'Connections of callers that were closed for what they held',
        )
        self.attempts = self._counter(
            'dotterelweir_attempts_total', 'Attempts at targets'
        )
        self.tokens = self._counter(
            'dotterelweir_tokens_total', 'Tokens delivered to callers'
        )
        self.resumes = self._counter(
            'dotterelweir_resumes_total', 'Generations resumed'
        )
        self.first_token_s = self._histogram(
            'dotterelweir_first_token_seconds', 'Time to the first token'
        )
        self.queue_requests = self._gauge(
            'dotterelweir_queue_requests', 'Requests that wait for a target'
        )
        self.running_requests = self._gauge(
            'dotterelweir_running_requests', 'Attempts in flight'
        )
        self.table_revision = self._gauge(
            'dotterelweir_table_revision', 'Offset of the tables in force'
        )
        self.table_age_s = self._gauge(
            'dotterelweir_table_age_seconds', 'Time since the log was read'
        )
        self.peers = self._gauge('dotterelweir_peers', 'Members by state')
        self.datagrams_dropped = self._counter(
            'dotterelweir_datagrams_dropped_total', 'Datagrams dropped'
        )
        self.state = self._gauge(
            'dotterelweir_state', 'Current state of the life cycle'
        )

    def render(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Renders all metrics in the format that the client accepts.

        Args:
            accept: Value of the Accept header.

        Returns:
            The body and the headers of the HTTP response.
        """
        return renderer.render(self._registry, [accept])

    def _counter(self, name: str, doc: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(name, doc, registry=self._registry)

    def _gauge(self, name: str, doc: str) -> aioprometheus.Gauge:
        return aioprometheus.Gauge(name, doc, registry=self._registry)

    def _histogram(self, name: str, doc: str) -> aioprometheus.Histogram:
        return aioprometheus.Histogram(
            name,
            doc,
            buckets=[0.05, 0.1, 0.2, 0.35, 0.53, 0.8, 1.5, 3, 6, 12, 30],
            registry=self._registry,
        )
