"""Metrics of the gateway: counters, gauges and latency histograms."""

import aioprometheus
from aioprometheus import renderer

# Upper bounds of the latency histograms, in seconds: around the objectives
# of plain calls (0.1 to 0.4) and of first events (1.5 to 1.8).
_BUCKETS_S = [0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 1.8, 3, 6, 12, 40]


class Statistics:
    """All metrics of a gateway process.

    Attributes:
        requests: Requests that ended, by outcome.
        attempts: Attempts at targets, by target and end.
        unmatched_answers: Answers that name another request or none, by
            target.
        prompt_crashes: Crashes that a prompt is suspected of, by origin.
        blocked_requests: Requests kept from the engines because of their
            prompt.
        recoveries: Streams that continued at another target, by way.
        taken_up_streams: Streams that callers take up, by how the instance
            knows the software version that began them.
        mixed_streams: Streams that hold events of engines of two software
            versions, by service.
        forwarded_requests: Requests passed to other instances, by end.
        targets_lost: 1 while the instance reaches no target, else 0.
        first_byte_s: Time to the first byte of a streamed answer, in seconds,
            by route.
        answer_s: Time to the end of an answer, in seconds.
        prompt_trials: Requests sent to an engine despite a blocked prompt.
        unstopped_runs: Runs that their engines did not stop when called to.
        busy_moves: Calls to copy or stop a run that its engine refused, as it
            worked on an earlier one, by engine.
        kept_runs: Runs that were not stopped for a move, by what stood against
            it.
        stopped_runs_lost: Streams lost after their engine was called to stop
            the run, by the step that failed.
        withheld_sends: Requests that were not sent to the target chosen for
            them, by reason.
        unused_copies: Copies not used, as their engine ended before the first
            event.
        expected_pauses: Streams sent to an engine where a pause above the
            limit is to be expected, by service.
        notices: Notices of targets about themselves, by kind.
        limit_turns: Decisions about turns at targets that limit their
            request rate, by decision.
        cold_targets: Times that a target was cold, by origin.
        pace_changes: Changes of learned paces of targets, by change.
        blocked_repeats: Requests kept from targets that several targets have
            ended under.
        target_ends: Ends of targets with requests in flight, by origin.
        end_signs: Ends of targets that this instance detected, by sign.
        rewinds: Restores of the store from an older copy that the instance
            observed, by stream.
        queue_length: Generations that wait for an engine, by service.
        queue_refusals: Generations refused for lack of capacity, by reason.
        roster_reads: Reads of the roster of instances in the store, by
            outcome.
        evacuations: Evacuations and restorations of zones, by change.
        evacuated_zones: Zones that are evacuated.
        memory_refusals: Requests refused for lack of memory, by reason.
        closed_callers: Connections of callers that were closed because of
            what they held, by reason.
        caller_bytes: Bytes that are charged to callers.
        running: Requests of callers in flight.
        tables_version: Version of the tables in force.
    """

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()
        self.requests = aioprometheus.Counter(
            'dotterelweir_gateway_requests_total',
            'Requests that ended',
            registry=self._registry,
        )
        self.attempts = aioprometheus.Counter(
            'dotterelweir_gateway_attempts_total',
            'Attempts at targets',
            registry=self._registry,
        )
        self.unmatched_answers = aioprometheus.Counter(
            'dotterelweir_gateway_unmatched_answers_total',
            'Answers of targets that name another request, or none',
            registry=self._registry,
        )
        self.prompt_crashes = aioprometheus.Counter(
            'dotterelweir_gateway_prompt_crashes_total',
            'Crashes of engines that a prompt is suspected of',
            registry=self._registry,
        )
        self.blocked_requests = aioprometheus.Counter(
            'dotterelweir_gateway_blocked_requests_total',
            'Requests kept from the engines because of their prompt',
            registry=self._registry,
        )
        self.prompt_trials = aioprometheus.Counter(
            'dotterelweir_gateway_prompt_trials_total',
            'Requests sent to an engine although their prompt is blocked',
            registry=self._registry,
        )
        self.recoveries = aioprometheus.Counter(
            'dotterelweir_gateway_recoveries_total',
            'Streams that went on at another target',
            registry=self._registry,
        )
        self.taken_up_streams = aioprometheus.Counter(
            'dotterelweir_gateway_taken_up_streams_total',
            'Broken streams that callers took up again',
            registry=self._registry,
        )
        self.mixed_streams = aioprometheus.Counter(
            'dotterelweir_gateway_mixed_streams_total',
            'Streams with events of engines of two software versions',
            registry=self._registry,
        )
        self.forwarded_requests = aioprometheus.Counter(
            'dotterelweir_gateway_forwarded_requests_total',
            'Requests passed to other instances',
            registry=self._registry,
        )
        self.targets_lost = aioprometheus.Gauge(
            'dotterelweir_gateway_targets_lost',
            'Whether the instance reaches no target',
            registry=self._registry,
        )
        self.unstopped_runs = aioprometheus.Counter(
            'dotterelweir_gateway_unstopped_runs_total',
            'Runs that their engines did not stop when called to',
            registry=self._registry,
        )
        self.busy_moves = aioprometheus.Counter(
            'dotterelweir_gateway_busy_moves_total',
            'Calls about a run whose engine worked on an earlier one',
            registry=self._registry,
        )
        self.kept_runs = aioprometheus.Counter(
            'dotterelweir_gateway_kept_runs_total',
            'Runs that were not stopped for a move, as it was not certain',
            registry=self._registry,
        )
        self.stopped_runs_lost = aioprometheus.Counter(
            'dotterelweir_gateway_stopped_runs_lost_total',
            'Streams lost after their engine was called to stop the run',
            registry=self._registry,
        )
        self.withheld_sends = aioprometheus.Counter(
            'dotterelweir_gateway_withheld_sends_total',
            'Requests not sent, as their target accepts none any more',
            registry=self._registry,
        )
        self.unused_copies = aioprometheus.Counter(
            'dotterelweir_gateway_unused_copies_total',
            'Copies not used, as their engine ended before the first event',
            registry=self._registry,
        )
        self.expected_pauses = aioprometheus.Counter(
            'dotterelweir_gateway_expected_pauses_total',
            'Streams sent to an engine that may pause above the limit',
            registry=self._registry,
        )
        self.notices = aioprometheus.Counter(
            'dotterelweir_gateway_target_notices_total',
            'Targets that said that they leave, or asked for a pause',
            registry=self._registry,
        )
        self.limit_turns = aioprometheus.Counter(
            'dotterelweir_gateway_limit_turns_total',
            'Decisions about turns at targets that limit their request rate',
            registry=self._registry,
        )
        self.cold_targets = aioprometheus.Counter(
            'dotterelweir_gateway_cold_targets_total',
            'Times that a target has started or said that it is cold',
            registry=self._registry,
        )
        self.pace_changes = aioprometheus.Counter(
            'dotterelweir_gateway_pace_changes_total',
            'Learned paces of targets that began, fell or ended',
            registry=self._registry,
        )
        self.blocked_repeats = aioprometheus.Counter(
            'dotterelweir_gateway_blocked_repeats_total',
            'Requests kept from targets, as several targets ended under them',
            registry=self._registry,
        )
        self.target_ends = aioprometheus.Counter(
            'dotterelweir_gateway_target_ends_total',
            'Ends of targets with requests in flight',
            registry=self._registry,
        )
        self.rewinds = aioprometheus.Counter(
            'dotterelweir_gateway_store_rewinds_total',
            'Times that the store came back from an older copy',
            registry=self._registry,
        )
        self.evacuations = aioprometheus.Counter(
            'dotterelweir_gateway_zone_evacuations_total',
            'Evacuations and restorations of zones',
            registry=self._registry,
        )
        self.roster_reads = aioprometheus.Counter(
            'dotterelweir_gateway_roster_reads_total',
            'Reads of the roster of instances in the store',
            registry=self._registry,
        )
        self.end_signs = aioprometheus.Counter(
            'dotterelweir_gateway_end_signs_total',
            'Ends of targets that this instance detected',
            registry=self._registry,
        )
        self.evacuated_zones = aioprometheus.Gauge(
            'dotterelweir_gateway_evacuated_zones',
            'Zones that are evacuated',
            registry=self._registry,
        )
        self.first_byte_s = aioprometheus.Histogram(
            'dotterelweir_gateway_first_byte_seconds',
            'Time to the first byte of an answer',
            buckets=_BUCKETS_S,
            registry=self._registry,
        )
        self.answer_s = aioprometheus.Histogram(
            'dotterelweir_gateway_answer_seconds',
            'Time to the end of an answer',
            buckets=_BUCKETS_S,
            registry=self._registry,
        )
        self.memory_refusals = aioprometheus.Counter(
            'dotterelweir_gateway_memory_refusals_total',
            'Requests refused for lack of memory',
            registry=self._registry,
        )
        self.closed_callers = aioprometheus.Counter(
            'dotterelweir_gateway_closed_callers_total',
            'Connections of callers that were closed for what they held',
            registry=self._registry,
        )
        self.caller_bytes = aioprometheus.Gauge(
            'dotterelweir_gateway_caller_bytes',
            'Bytes that callers hold by the account of the process',
            registry=self._registry,
        )
        self.queue_length = aioprometheus.Gauge(
            'dotterelweir_gateway_queue_length',
            'Generations that wait for an engine',
            registry=self._registry,
        )
        self.queue_refusals = aioprometheus.Counter(
            'dotterelweir_gateway_queue_refusals_total',
            'Generations refused for lack of capacity',
            registry=self._registry,
        )
        self.running = aioprometheus.Gauge(
            'dotterelweir_gateway_running_requests',
            'Requests in flight',
            registry=self._registry,
        )
        self.tables_version = aioprometheus.Gauge(
            'dotterelweir_gateway_tables_version',
            'Version of the tables in force',
            registry=self._registry,
        )

    def render(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Renders the metrics in a format that the client accepts.

        Args:
            accept: Value of the client's ``Accept`` header.

        Returns:
            The body and the headers of the answer.
        """
        return renderer.render(self._registry, [accept])
