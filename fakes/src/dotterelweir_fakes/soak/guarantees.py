"""Checks runs and answers against the guarantees of the gateway.

They are: a caller receives only bytes of its own answer; a valid request is
not rejected as invalid; a request that is reported as not run does not run;
a request that is not repeatable runs at most once, apart from continuations,
and at one target at a time; a target that asked an instance for a pause gets
no further requests from it until the pause ends.
"""

from collections.abc import Sequence

import attrs

# Longest time for which two targets may run one request at once, in seconds.
_MAX_OVERLAP_S = 0.4


# Requests that an instance may send to a target within a pause that it asked
# for, and the time after which they count, in seconds.
_SENDS_IN_PAUSE_MAX = 2
_PAUSE_SLACK_S = 0.5


@attrs.define
class Pause:
    """A pause that a target has asked an instance for.

    Attributes:
        asked_s: Time on the event loop's clock at which it asked, in seconds.
        until_s: End of the pause on that clock, in seconds.
        sends: Number of requests that came within it.
    """

    asked_s: float
    until_s: float
    sends: int = 0


@attrs.define
class Run:
    """One run of a request at one target.

    Attributes:
        target_id: The target.
        begun_s: Start of the run on the event loop's clock, in seconds.
        ended_s: End of the run on that clock; None while it is in progress.
        continued: Whether it continues a run of another target.
        disturbed: Whether a fault may have delayed its end; its overlap with
            the next run is not checked then.
        stopped: Whether the target stopped it as it was called to.
        cut_off: Whether the target ended under it.
    """

    target_id: str
    begun_s: float
    ended_s: float | None = None
    continued: bool = False
    disturbed: bool = False
    stopped: bool = False
    cut_off: bool = False


@attrs.define
class Ledger:
    """Records runs and answers by request and checks them.

    Attributes:
        requests: Number of requests that callers sent.
        whole: Number of complete and correct answers.
        refused: Number of requests that were reported as not run.
        violations: Violated guarantees, one line each.
        overlaps: Number of runs that started while another target still ran
            the request.
        taken_up: Number of streams that callers took up.
        taken_up_whole: Number of those that were complete in the end.
    """

    requests: int = 0
    whole: int = 0
    refused: int = 0
    violations: list[str] = attrs.field(factory=list)
    overlaps: int = 0
    taken_up: int = 0
    taken_up_whole: int = 0
    _runs: dict[str, list[Run]] = attrs.field(factory=dict)
    _reported_not_run: set[str] = attrs.field(factory=set)
    _at_most_once: set[str] = attrs.field(factory=set)
    _one_at_a_time: set[str] = attrs.field(factory=set)
    # Pauses by target and instance.
    _pauses: dict[tuple[str, str], list[Pause]] = attrs.field(factory=dict)

    def record_pause(
        self, target_id: str, instance: str, now_s: float, pause_s: float
    ) -> None:
        """Records that a target asks an instance for a pause.

        Args:
            target_id: The target.
            instance: The instance.
            now_s: Time on the event loop's clock, in seconds.
            pause_s: Length of the pause, in seconds.
        """
        self._pauses.setdefault((target_id, instance), []).append(
            Pause(now_s, now_s + pause_s)
        )

    def record_arrival(
        self,
        target_id: str,
        instance: str,
        now_s: float,
        disturbed_s: float,
    ) -> None:
        """Records a request of an instance at a target.

        Args:
            target_id: The target.
            instance: The instance.
            now_s: Time on the event loop's clock, in seconds.
            disturbed_s: Time of the last disturbance of the instance on that
                clock, in seconds; it excuses earlier pauses.
        """
        for pause in self._pauses.get((target_id, instance), ()):
            if disturbed_s >= pause.asked_s - _PAUSE_SLACK_S:
                continue
            if pause.asked_s + _PAUSE_SLACK_S < now_s < pause.until_s:
                pause.sends += 1

    def begin_run(
        self, request_id: str, target_id: str, continued: bool, now_s: float
    ) -> Run:
        """Records the start of a run.

        Args:
            request_id: The request.
            target_id: The target that runs it.
            continued: Whether it continues a run of another target.
            now_s: Time on the event loop's clock, in seconds.

        Returns:
            The run; the caller sets its end.
        """
        run = Run(target_id, now_s, continued=continued)
        self._runs.setdefault(request_id, []).append(run)
        return run

    def runs_of(self, request_id: str) -> Sequence[Run]:
        """Returns the runs of a request until now, in order."""
        return self._runs.get(request_id, ())

    def expect_at_most_once(self, request_id: str) -> None:
        """Records that a request may run at most once."""
        self._at_most_once.add(request_id)

    def expect_one_at_a_time(self, request_id: str) -> None:
        """Records that two targets must not run a request at once."""
        self._one_at_a_time.add(request_id)

    def record_answer(
        self, request_id: str, status: int, body: bytes, expected: bytes
    ) -> None:
        """Records and checks an answer that a caller received to its end.

        Args:
            request_id: The request.
            status: HTTP status of the answer.
            body: Received body.
            expected: Body of the correct answer.
        """
        if status == 200:
            if body == expected:
                self.whole += 1
            else:
                self._add_violation(
                    f'{request_id}: unexpected body: {body[:40]!r}'
                )
        elif status in (408, 421, 429, 503):
            self.refused += 1
            self._reported_not_run.add(request_id)
        elif status in (400, 401, 403, 404, 413, 431):
            self._add_violation(
                f'{request_id}: valid request rejected with {status}'
            )

    def record_partial_answer(
        self, request_id: str, body: bytes, expected: bytes
    ) -> None:
        """Checks the received part of an answer that was interrupted.

        Args:
            request_id: The request.
            body: Received part of the body.
            expected: Body of the correct answer.
        """
        if not expected.startswith(body):
            self._add_violation(
                f'{request_id}: partial answer with foreign bytes'
            )

    def record_versions(self, request_id: str, versions: set[str]) -> None:
        """Checks the software versions whose events a stream holds.

        Args:
            request_id: The request, or the first one of several attempts.
            versions: The versions.
        """
        if len(versions) > 1:
            self._add_violation(
                f'{request_id}: events of versions {sorted(versions)}'
            )

    def check(self) -> None:
        """Checks runs and pauses; called at the end of the soak."""
        for (target_id, instance), pauses in self._pauses.items():
            for pause in pauses:
                if pause.sends > _SENDS_IN_PAUSE_MAX:
                    self._add_violation(
                        f'{target_id}: {pause.sends} requests of {instance} '
                        f'within a pause from {pause.asked_s:.3f}'
                    )
        one_at_a_time = self._at_most_once | self._one_at_a_time
        for request_id, runs in self._runs.items():
            if request_id in self._reported_not_run:
                self._add_violation(
                    f'{request_id}: reported as not run, but it ran'
                )
            fresh = [run for run in runs if not run.continued]
            if request_id in self._at_most_once and len(fresh) > 1:
                runs_text = ', '.join(
                    f'{run.target_id} at {run.begun_s:.3f}' for run in fresh
                )
                self._add_violation(
                    f'{request_id}: ran {len(fresh)} times: {runs_text}'
                )
            if request_id in one_at_a_time:
                self._check_overlap(request_id, runs)

    def _check_overlap(self, request_id: str, runs: list[Run]) -> None:
        for earlier, later in zip(runs, runs[1:], strict=False):
            end_s = earlier.ended_s
            overlaps = end_s is None or end_s > later.begun_s + _MAX_OVERLAP_S
            if overlaps and not earlier.disturbed:
                self.overlaps += 1
                self._add_violation(
                    f'{request_id}: {later.target_id} started while '
                    f'{earlier.target_id} was still running it'
                )

    def _add_violation(self, violation: str) -> None:
        self.violations.append(violation)
