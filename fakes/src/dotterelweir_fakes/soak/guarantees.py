"""What callers and targets saw, checked against the promises."""

import attrs

# Two engines may not work on one run for longer than this, in seconds.
_MAX_OVERLAP_S = 0.4


@attrs.define
class Run:
    """One run of a request at one target."""

    target_id: str
    begun_s: float
    ended_s: float | None = None
    continued: bool = False
    disturbed: bool = False


@attrs.define
class Ledger:
    """Runs and answers by request.

    Attributes:
        requests: Requests that callers sent.
        whole: Whole answers.
        refused: Requests that were told that they did not run.
        violations: Broken promises, one line each.
    """

    requests: int = 0
    whole: int = 0
    refused: int = 0
    violations: list[str] = attrs.field(factory=list)
    _runs: dict[str, list[Run]] = attrs.field(factory=dict)
    _reported_not_run: set[str] = attrs.field(factory=set)
    _at_most_once: set[str] = attrs.field(factory=set)

    def begin_run(
        self, request_id: str, target_id: str, continued: bool, now_s: float
    ) -> Run:
        """Takes note that a target begins to run a request."""
        run = Run(target_id, now_s, continued=continued)
        self._runs.setdefault(request_id, []).append(run)
        return run

    def expect_at_most_once(self, request_id: str) -> None:
        """Takes note of a request that may run once at most."""
        self._at_most_once.add(request_id)

    def record_answer(
        self, request_id: str, status: int, body: bytes, expected: bytes
    ) -> None:
        """Takes note of a complete answer that a caller got."""
        if status == 200:
            if body == expected:
                self.whole += 1
            else:
                self._add_violation(
                    f'{request_id}: another body than its own: {body[:40]!r}'
                )
        elif status in (408, 421, 429, 503):
            self.refused += 1
            self._reported_not_run.add(request_id)
        elif status in (400, 401, 403, 404, 413, 431):
            self._add_violation(
                f'{request_id}: proper request denied with {status}'
            )

    def record_partial_answer(
        self, request_id: str, body: bytes, expected: bytes
    ) -> None:
        """Takes note of an answer that broke off."""
        if not expected.startswith(body):
            self._add_violation(
                f'{request_id}: broken answer with foreign bytes'
            )

    def check(self) -> None:
        """Checks what can be known only at the end."""
        for request_id, runs in self._runs.items():
            if request_id in self._reported_not_run:
                self._add_violation(
                    f'{request_id}: told "not run", but it ran'
                )
            fresh = [run for run in runs if not run.continued]
            if request_id in self._at_most_once and len(fresh) > 1:
                self._add_violation(f'{request_id}: ran {len(fresh)} times')
            if request_id in self._at_most_once:
                self._check_overlap(request_id, runs)

    def _check_overlap(self, request_id: str, runs: list[Run]) -> None:
        for earlier, later in zip(runs, runs[1:], strict=False):
            end_s = earlier.ended_s
            overlaps = end_s is None or end_s > later.begun_s + _MAX_OVERLAP_S
            if overlaps and not earlier.disturbed:
                self._add_violation(
                    f'{request_id}: {later.target_id} began while '
                    f'{earlier.target_id} still worked'
                )

    def _add_violation(self, violation: str) -> None:
        self.violations.append(violation)
