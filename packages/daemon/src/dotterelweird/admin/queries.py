"""Answers the operators' queries from the components of an instance."""

import attrs

from dotterelweir_core import errors
from dotterelweir_core import timers
from dotterelweir_core.delivery import prompts
from dotterelweir_core.membership import messages
from dotterelweir_core.policy import api as policy_api
from dotterelweir_core.tables import matching
from dotterelweir_core.tables import model as tables_model
from dotterelweir_core.tables import records
from dotterelweir_core.targets import registry as target_registry
from dotterelweird import dispatch
from dotterelweird import lifecycle as lifecycle_module
from dotterelweird.admin import api
from dotterelweird.callers import inflight
from dotterelweird.peers import service as peers_service
from dotterelweird.settings import model as settings_model
from dotterelweird.tables_service import service as tables_service


@attrs.frozen
class InstanceComponents:
    """The components of an instance that the queries read.

    Attributes:
        settings: Settings of the instance.
        timer: Clock and timers.
        lifecycle: Lifecycle state of the instance.
        tables: Service with the tables in force.
        registry: Registry of targets.
        dispatcher: Dispatcher of waiting requests and running attempts.
        in_flight: Counter of requests that are being answered.
        peers: Membership service with the records of other instances.
        started_s: Start of the instance, in monotonic seconds.
    """

    settings: settings_model.Settings
    timer: timers.TimerService
    lifecycle: lifecycle_module.Lifecycle
    tables: tables_service.TablesService
    registry: target_registry.TargetRegistry
    dispatcher: dispatch.Dispatcher
    in_flight: inflight.InFlight
    peers: peers_service.PeersService
    started_s: float


class InstanceQueries(api.AdminQueries):
    """Answers queries from the state of one running instance.

    Args:
        components: Components of the instance.
    """

    def __init__(self, components: InstanceComponents) -> None:
        self._components = components

    def status(self) -> dict[str, object]:
        components = self._components
        now_s = components.timer.monotonic_s()
        return {
            'instance_id': components.settings.instance_id,
            'zone': components.settings.zone,
            'state': components.lifecycle.state,
            'uptime_s': round(now_s - components.started_s, 1),
            'tables': self._tables_status(),
            'requests': {
                'answering': components.in_flight.count,
                'waiting': components.dispatcher.requests_waiting,
                'attempts_running': components.dispatcher.attempts_running,
            },
            'targets': [
                _target_row(status)
                for status in components.registry.statuses()
            ],
            'peers': [
                _member_row(member) for member in components.peers.members()
            ],
        }

    def tables(self) -> dict[str, object]:
        tables = self._components.tables.tables
        return {
            'revision': tables.revision,
            'routes': records.CONVERTER.unstructure(tables.routes),
            'pools': records.CONVERTER.unstructure(tables.pools),
        }

    def explain(self, query: api.ExplainQuery) -> dict[str, object]:
        tables = self._components.tables.tables
        attributes = matching.RequestAttributes(
            query.path, query.model, query.organisation
        )
        results = matching.explain_match(tables, attributes)
        response: dict[str, object] = {
            'revision': tables.revision,
            'routes': [attrs.asdict(result) for result in results],
        }
        try:
            route = matching.match_route(tables, attributes)
        except errors.DotterelweirError as error:
            return {**response, 'route': None, 'decision': error.detail}
        explanation = self._components.dispatcher.explain(
            self._work_item(query, route)
        )
        return {
            **response,
            'route': route.name,
            'pool': route.pool,
            'decision': _decision_text(explanation.decision),
            'candidates': [
                attrs.asdict(candidate) for candidate in explanation.candidates
            ],
        }

    def _tables_status(self) -> dict[str, object]:
        tables = self._components.tables
        age_s = tables.age_s
        return {
            'revision': tables.tables.revision,
            'offset': tables.offset,
            'age_s': None if age_s is None else round(age_s, 1),
            'log_reachable': tables.log_reachable,
            'routes': len(tables.tables.routes),
            'pools': len(tables.tables.pools),
        }

    def _work_item(
        self, query: api.ExplainQuery, route: tables_model.Route
    ) -> policy_api.WorkItem:
        now_s = self._components.timer.monotonic_s()
        bounds = [
            bound
            for bound in (query.max_output_tokens, route.max_output_tokens)
            if bound is not None
        ]
        return policy_api.WorkItem(
            request_id='explain',
            route=route.name,
            pool=route.pool,
            organisation=query.organisation,
            priority=route.priority,
            prompt_tokens=query.prompt_tokens,
            max_output_tokens=min(bounds, default=None),
            prefix_hashes=prompts.prefix_hashes(b''),
            arrived_s=now_s,
            deadline_s=now_s + route.timeout_s,
            repeatable=route.repeatable,
        )


def _target_row(status: target_registry.TargetStatus) -> dict[str, object]:
    target, report = status.target, status.report
    return {
        'target': target.target_id,
        'service': target.service,
        'zone': target.zone,
        'state': status.state.value,
        'incarnation': target.incarnation,
        'running': None if report is None else report.running,
        'waiting': None if report is None else report.waiting,
        'memory': _memory_text(report),
    }


def _member_row(member: messages.Member) -> dict[str, object]:
    return {
        'instance': member.member_id,
        'zone': member.zone,
        'state': member.state.name.lower(),
        'incarnation': member.incarnation,
        'address': f'{member.host}:{member.port}',
    }


def _memory_text(report: target_registry.model.LoadReport | None) -> str:
    if report is None or not report.memory_total_tokens:
        return ''
    return f'{report.memory_used_tokens}/{report.memory_total_tokens}'


def _decision_text(decision: policy_api.Decision | None) -> str:
    match decision:
        case policy_api.Placement():
            return f'goes to {decision.target_id}: {decision.reason}'
        case policy_api.Refusal():
            return f'refused with {decision.kind.value}: {decision.detail}'
        case _:
            return 'would wait for room'
