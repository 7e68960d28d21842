"""Exchange of findings: what one instance has learned and all must know.

Findings are departures of targets, prompts and requests that end targets,
limits of targets, and evacuated zones. News of a finding is sent to all
instances several times; regular digests carry checksums, by which an instance
that was cut off or frozen notices what it lacks.
"""

from collections.abc import Callable
from collections.abc import Iterator
import random

import attrs

from dotterelweir_core import timers
from dotterelweir_core.gateway import engine_ends
from dotterelweir_core.gateway import evacuations
from dotterelweir_core.gateway import pace
from dotterelweir_core.gateway import quarantine
from dotterelweir_core.gateway import rate_limits
from dotterelweir_core.gateway import request_quarantine
from dotterelweir_core.gateway import stream_origins
from dotterelweir_core.gateway import targets
from dotterelweir_core.gateway import turns
from dotterelweird.gateway import digests
from dotterelweird.gateway import finding_codec
from dotterelweird.gateway import limiting
from dotterelweird.gateway import origins as gateway_origins
from dotterelweird.gateway import prompt_guard as prompt_guards
from dotterelweird.gateway import request_guard as request_guards

# Maximum number of departures of each kind that are sent to a new peer; a row
# has about 35 bytes, and both kinds share a datagram.
_DEPARTURES_MAX = 16
# Maximum number of crashes that are sent to a new peer; a row has about 80
# bytes.
_CRASHES_MAX = 12
# Maximum number of parts of prompts in a datagram with several crashes.
_PARTS_PER_MESSAGE = 96
# Maximum number of findings about ends of targets that are sent to a peer, a
# datagram each.
_END_FINDINGS_MAX = 24
# Maximum number of limits, and of paces, that are sent to a peer, a datagram
# each.
_LIMITS_MAX = 16
# Number of peers that send them to a new peer, on average. In a large
# deployment, those of all peers would fill its link.
_LIMIT_COPIES = 8
# Shortest time between two requests for the findings of a peer, in seconds.
_REQUEST_INTERVAL_S = 1.0
# Delays after which a finding is sent again, in seconds: a lost datagram would
# cost another target. They last until a peer that was cut off counts as
# silent, and so as new when it returns.
_REPEAT_DELAYS_S = (0.1, 0.5, 1.0, 2.0)

Finding = (
    quarantine.Finding | request_quarantine.Finding | evacuations.Evacuation
)


@attrs.define
class FindingExchange:
    """Sends the findings of this instance and applies those of the peers.

    Attributes:
        timers: The timer service.
        rng: Random source.
        departures: Returns the newest departures of targets, at most the
            given number of each kind.
        prompt_guard: Holds what is known of prompts that crash engines.
        request_guard: Holds what is known of requests under which targets
            ended.
        limiter: Keeps requests within the limits of targets.
        origins: Finds the software version of streams that are taken up.
        send: Sends a message to the instance at an IP address.
        send_to_all: Sends a message to all instances.
        evacuation_registry: The evacuated zones.
    """

    timers: timers.TimerService
    rng: random.Random
    departures: Callable[[int], tuple[targets.Departure, ...]]
    prompt_guard: prompt_guards.PromptGuard
    request_guard: request_guards.RequestGuard
    limiter: limiting.TargetLimiter
    origins: gateway_origins.StreamOrigins
    send: Callable[[str, digests.Message], None]
    send_to_all: Callable[[digests.Message], None]
    evacuation_registry: evacuations.EvacuationRegistry = attrs.field(
        factory=evacuations.EvacuationRegistry
    )
    _requested_s: float = float('-inf')

    def send_finding(self, finding: Finding) -> None:
        """Sends what was found about prompts or requests to the peers."""
        found_s = self.timers.elapsed_s()

        def send() -> None:
            age_s = self.timers.elapsed_s() - found_s
            self.send_to_all(_message(finding, age_s))

        send()
        for delay_s in _REPEAT_DELAYS_S:
            self.timers.call_after(delay_s, send)

    def handle(self, message: finding_codec.Finding, host: str) -> None:
        """Applies a message of a peer.

        Args:
            message: The message.
            host: IP address of the peer.
        """
        match message:
            case finding_codec.PromptCrashes(crashes=crashes):
                for crash in crashes:
                    self.prompt_guard.apply_finding(crash, host)
            case quarantine.SoundParts():
                self.prompt_guard.apply_finding(message, host)
            case engine_ends.EndReport() | request_quarantine.SoundRequest():
                self.request_guard.apply_finding(message, host)
            case (
                rate_limits.LimitStatement()
                | pace.PaceNotice()
                | turns.TurnRequest()
                | turns.TurnAnswer()
            ):
                self.limiter.handle_message(message, host)
            case evacuations.Evacuation():
                self.evacuation_registry.apply(message)
            case (
                stream_origins.OriginNews()
                | stream_origins.OriginQuery()
                | stream_origins.OriginAnswer()
            ):
                self.origins.handle_message(message, host)

    def send_to_started(self, host: str, instance_count: int) -> None:
        """Sends what an instance that has started cannot know.

        Args:
            host: IP address of the instance.
            instance_count: Number of instances that may send it.
        """
        # It may have started after these targets departed, while the store
        # still has their registrations.
        departures = self.departures(_DEPARTURES_MAX)
        if departures:
            self.send(host, digests.Departures(departures))
        for crashes in _split(self.prompt_guard.crashes(_CRASHES_MAX)):
            self.send(host, finding_codec.PromptCrashes(crashes))
        self._send_ends(host)
        if self.rng.random() < _LIMIT_COPIES / instance_count:
            self._send_limits(host)
            self._send_evacuations(host)

    def send_requested(self, host: str) -> None:
        """Sends what a peer has asked for.

        Args:
            host: IP address of the peer.
        """
        self._send_limits(host)
        self._send_ends(host)
        self._send_evacuations(host)

    def _send_evacuations(self, host: str) -> None:
        for evacuation in self.evacuation_registry.findings():
            self.send(host, evacuation)

    def _send_ends(self, host: str) -> None:
        for finding in self.request_guard.findings(_END_FINDINGS_MAX):
            self.send(host, finding)

    def _send_limits(self, host: str) -> None:
        for statement in self.limiter.limits.statements(
            _LIMITS_MAX, self.timers.elapsed_s()
        ):
            self.send(host, statement)
        for notice in self.limiter.pace.notices(
            _LIMITS_MAX, self.timers.monotonic_s()
        ):
            self.send(host, notice)

    def checksums(self) -> digests.FindingChecksums:
        """Returns the checksums for a regular digest."""
        return digests.FindingChecksums(
            self.limiter.limits.fingerprint,
            self.request_guard.fingerprint,
            self.evacuation_registry.fingerprint,
        )

    def should_request(self, checksums: digests.FindingChecksums) -> bool:
        """Whether to ask a peer for its findings, as they differ.

        Args:
            checksums: Checksums in the peer's digest.
        """
        now_s = self.timers.monotonic_s()
        if checksums == self.checksums():
            return False
        if now_s - self._requested_s < _REQUEST_INTERVAL_S:
            return False
        self._requested_s = now_s
        return True


def _message(finding: Finding, age_s: float) -> digests.Message:
    """Returns the message of a finding that is some seconds old."""
    match finding:
        case quarantine.PromptCrash():
            return finding_codec.PromptCrashes(
                (attrs.evolve(finding, age_s=finding.age_s + age_s),)
            )
        case engine_ends.EndReport() | request_quarantine.SoundRequest():
            return attrs.evolve(finding, age_s=finding.age_s + age_s)
        case evacuations.Evacuation():
            return finding
        case quarantine.SoundParts(ages_s):
            return quarantine.SoundParts(
                {part: own_s + age_s for part, own_s in ages_s.items()}
            )


def _split(
    crashes: tuple[quarantine.PromptCrash, ...],
) -> Iterator[tuple[quarantine.PromptCrash, ...]]:
    """Splits crashes into messages of limited size, one crash at least."""
    batch: list[quarantine.PromptCrash] = []
    parts = 0
    for crash in crashes:
        if batch and parts + len(crash.parts) > _PARTS_PER_MESSAGE:
            yield tuple(batch)
            batch, parts = [], 0
        batch.append(crash)
        parts += len(crash.parts)
    if batch:
        yield tuple(batch)
