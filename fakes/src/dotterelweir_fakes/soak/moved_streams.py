"""Callers that judge streams whose engine stopped their run for a move."""

from collections.abc import Sequence

import attrs

from dotterelweir_fakes.soak import guarantees
from dotterelweir_fakes.soak import kept_callers
from dotterelweir_fakes.soak import losses
from dotterelweir_fakes.soak import planned_requests

# Time for which a run may have ended before its stream, in seconds: a process
# that exits closes the connections of both, one after the other.
_SAME_END_S = 0.1


def judge(
    cut: losses.Cut, runs: Sequence[guarantees.Run], failed: bool = False
) -> losses.Verdict:
    """Judges a stream that has no whole answer.

    A stream whose run was stopped for a move must go on, whatever else
    happens. It is excused only if a run was at work until the process had to
    exit. An engine that ends under a run that nobody has stopped has broken
    the stream off itself.

    Args:
        cut: The end of the stream.
        runs: Its runs at engines, in order.
        failed: Whether it has a whole answer of another status than 200.
    """
    verdict = cut.judge(runs)
    if not runs:
        return verdict
    if verdict is losses.Verdict.OVERDUE:
        # A deadline excuses no run that was stopped and did not go on.
        if runs[-1].stopped:
            return losses.Verdict.LOST_AFTER_STOP
        return verdict
    if runs[-1].cut_off and not runs[-1].stopped:
        return losses.Verdict.ENGINE_ENDED
    if any(run.stopped for run in runs):
        until_end = any(
            run.ended_s is None or run.ended_s >= cut.ended_s - _SAME_END_S
            for run in runs
        )
        if verdict is losses.Verdict.EXCUSED and until_end and not failed:
            return verdict
        return losses.Verdict.LOST_AFTER_STOP
    return verdict


@attrs.define
class MovedCallers(kept_callers.Callers):
    """Callers whose streams engines move all the time.

    Departures of engines are planned work. Each lost stream is a violation.
    """

    def _expect_runs(self, request: planned_requests.PlannedRequest) -> None:
        super()._expect_runs(request)
        if request.route in planned_requests.STREAM_ROUTES:
            self.ledger.expect_one_at_a_time(request.request_id)

    def _judge(self, outcome: kept_callers.Outcome) -> None:
        if outcome.request.route not in planned_requests.STREAM_ROUTES:
            super()._judge(outcome)
            return
        self._record(outcome)
        self.count('streams')
        reply = outcome.reply
        moved = any(run.stopped for run in outcome.runs)
        failed = reply.complete and reply.status != 200
        if reply.complete and not (failed and moved):
            if moved:
                self.count('moved_whole')
            return
        verdict = judge(outcome.cut, outcome.runs, failed)
        if verdict is losses.Verdict.LOST and self.is_disturbed(reply):
            verdict = losses.Verdict.DISTURBED
        self.count(verdict.value)
        if moved:
            self.count(f'moved_{verdict.value}')
        after_stop = verdict is losses.Verdict.LOST_AFTER_STOP
        if after_stop and outcome.stopped_s is not None:
            self.count('lost_after_stop_around_sigterm')
        text = f'{verdict.value}: {outcome.describe()}, status {reply.status}'
        self.trace(text)
        if after_stop or verdict is losses.Verdict.LOST:
            self.ledger.violations.append(text)
