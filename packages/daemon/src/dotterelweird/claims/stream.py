"""Makes claims in one claim stream and applies the claims read from it."""

import asyncio
import itertools
import logging
import random

import attrs

from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core import timers
from dotterelweir_core.claims import fold
from dotterelweir_core.claims import records
from dotterelweir_logservice import api as platform_api
from dotterelweird import scopes
from dotterelweird.claims import api as claims_api
from dotterelweird.claims import refusals as claim_errors
from dotterelweird.logstream import batcher as log_batcher
from dotterelweird.logstream import follower as log_follower
from dotterelweird.settings import model as settings_model

LOG = logging.getLogger(__name__)

# Outcomes stay queued only while the log is down, when no new calls with a key
# begin. While this many records are queued, new outcomes are recorded without
# headers and body.
_QUEUED_RECORDS_WITH_BODY_MAX = 200


@attrs.define(eq=False)
class _Pending:
    """A claim that awaits its decision.

    Attributes:
        claim: The claim.
        append: Its append to the log.
        decided: Gets the decision when the record is read from the stream.
    """

    claim: records.Claim
    append: log_batcher.Append
    decided: asyncio.Future


class ClaimStream:
    """Claims keys in one stream and tracks all claims of that stream."""

    def __init__(
        self,
        log: platform_api.LogClient,
        name: str,
        timer: timers.TimerService,
        rng: random.Random,
        platform: settings_model.Platform,
        claims: settings_model.Claims,
        run_id: str,
    ) -> None:
        """Creates the object without starting it.

        Args:
            log: The log service.
            name: Name of the stream.
            timer: Clock and timers.
            rng: Random source of the backoff.
            platform: Settings of the platform's services.
            claims: Settings of claims.
            run_id: Unique id of this run of the process.
        """
        self._log = log
        self._name = name
        self._timer = timer
        self._settings = claims
        self._claim_prefix = f'{run_id}.'
        self._claim_numbers = itertools.count(1)
        self._table = fold.ClaimTable(claims.window_s)
        self._pending: dict[str, _Pending] = {}
        self._repeat_waiters: dict[str, list[asyncio.Future]] = {}
        # Ids of claims of this run whose release was queued and not yet read
        # from the stream.
        self._releasing: set[str] = set()
        self._follower = log_follower.LogFollower(
            log,
            name,
            timer,
            rng,
            platform.log_wait_s,
            records.decode,
            self._apply,
        )
        self._batcher = log_batcher.LogBatcher(
            log,
            name,
            timer,
            rng,
            claims.append_interval_s,
            platform.log_timeout_s,
        )

    def __len__(self) -> int:
        return len(self._table)

    def start(self) -> None:
        """Starts reading and appending to the stream."""
        self._follower.start()
        self._batcher.start()

    async def stop(self, drain_s: float) -> None:
        """Appends queued outcomes and releases, then stops.

        Args:
            drain_s: Longest wait for these appends, in seconds.
        """
        await self._batcher.stop(drain_s)
        await self._follower.stop()

    async def claim(
        self,
        key_hash: str,
        request_hash: str,
        key_time_s: float | None,
        deadline_s: float,
    ) -> claims_api.Grant | claims_api.Outcome:
        """Claims a key.

        Args:
            key_hash: Hash of organisation, route and key.
            request_hash: Hash of the request.
            key_time_s: Creation time that the key carries, in wall seconds;
                None if it carries none.
            deadline_s: Deadline of the call, in monotonic seconds.

        Returns:
            A grant, or the outcome of an earlier call with this key.

        Raises:
            DotterelweirError: The key was not granted and there is no
                outcome to replay, or the log did not decide in time.
        """
        local_decision = self._local_decision(key_hash, request_hash)
        if (
            local_decision is not None
            and local_decision.verdict is fold.Verdict.IN_PROGRESS
        ):
            await self._wait_for_end(key_hash, deadline_s)
            local_decision = self._local_decision(key_hash, request_hash)
        if local_decision is not None:
            return await self._replay_or_refuse(local_decision)
        # A log that has been unreachable for longer than the decision
        # timeout is unlikely to decide this claim in time.
        if self._follower.failing_for_s() > self._settings.decision_timeout_s:
            raise claim_errors.unavailable('The log is out of reach')
        claim = records.Claim(
            f'{self._claim_prefix}{next(self._claim_numbers)}',
            key_hash,
            request_hash,
            key_time_s,
        )
        pending = self._enqueue(claim)
        decision = await self._wait_for_decision(pending, deadline_s)
        if decision.verdict is fold.Verdict.GRANTED:
            return ClaimGrant(self, claim, pending.append)
        if decision.verdict is fold.Verdict.IN_PROGRESS:
            await self._wait_for_end(key_hash, deadline_s)
            decision = self._local_decision(key_hash, request_hash) or decision
        return await self._replay_or_refuse(decision)

    def append(self, record: records.ClaimRecord) -> None:
        """Queues a release or an outcome for the next append."""
        self._batcher.add(log_batcher.Append(records.encode(record)))

    def release(self, claim: records.Claim) -> None:
        """Queues the release of a claim whose call is not dispatched."""
        events.log(
            LOG,
            events.CLAIM_RELEASED,
            claim_id=claim.claim_id,
            key_hash=claim.key_hash,
        )
        self._releasing.add(claim.claim_id)
        self.append(records.Release(claim.claim_id, claim.key_hash))

    def check_dispatch(self, append: log_batcher.Append) -> None:
        """Checks that a granted claim is recent enough to be dispatched.

        Raises:
            DotterelweirError: CLAIMS_UNAVAILABLE (not run) if more than
                ``dispatch_limit_s`` has passed since the claim was first
                sent to the log.
        """
        limit_s = self._settings.dispatch_limit_s
        sent = append.first_sent_at
        if sent is None or sent.elapsed_s(self._timer) > limit_s:
            raise claim_errors.unavailable(
                f'The call was held up for more than {limit_s:g} s after '
                'its claim'
            )

    def can_store_body(self, body: bytes | None) -> bool:
        """Whether an outcome may be recorded with this body.

        False without a body, for a large body, and while many records are
        queued.
        """
        return (
            body is not None
            and len(body) <= self._settings.outcome_max_bytes
            and len(self._batcher) < _QUEUED_RECORDS_WITH_BODY_MAX
        )

    def _local_decision(
        self, key_hash: str, request_hash: str
    ) -> fold.Decision | None:
        """Decides from the records read so far, without an append.

        This works while the log is down. If another instance has released
        the claim and this one has not read the release yet, a repeat is
        refused with the execution "unknown". After a release by this
        instance, the next claim goes to the log.

        Returns:
            The decision, or None if the claim must go to the log.
        """
        entry = self._table.find(key_hash)
        if (
            entry is None
            or entry.claim_id in self._releasing
            or entry.expires_s < self._timer.wall_s()
        ):
            return None
        return fold.Decision(
            entry.claim_id,
            self._table.evaluate(key_hash, request_hash),
            entry.execution,
            entry.outcome_offset,
        )

    async def _wait_for_end(self, key_hash: str, deadline_s: float) -> None:
        """Waits until the call in progress ends or its claim is released.

        The wait is at most ``repeat_wait_s`` and ends at the deadline. It is
        needed because a caller gets its response before the outcome is in
        the stream: a repeat sent right after would otherwise be refused.
        """
        wait_s = min(
            self._settings.repeat_wait_s,
            deadline_s - self._timer.monotonic_s(),
        )
        if wait_s <= 0:
            return
        ended = asyncio.get_running_loop().create_future()
        waiters = self._repeat_waiters.setdefault(key_hash, [])
        waiters.append(ended)
        handle = self._timer.call_after(wait_s, lambda: _wake(ended))
        try:
            await ended
        finally:
            handle.cancel()
            waiters.remove(ended)
            if not waiters:
                self._repeat_waiters.pop(key_hash, None)

    def _enqueue(self, claim: records.Claim) -> _Pending:
        """Queues a claim for the next append."""
        append = log_batcher.Append(
            records.encode(claim), lambda: claim.claim_id in self._pending
        )
        pending = _Pending(
            claim, append, asyncio.get_running_loop().create_future()
        )
        self._pending[claim.claim_id] = pending
        self._batcher.add(append)
        return pending

    async def _wait_for_decision(
        self, pending: _Pending, deadline_s: float
    ) -> fold.Decision:
        """Waits until the claim is read from the stream and so decided.

        A claim that is granted after its caller timed out or was cancelled
        is released when it is read, however late that is.

        Raises:
            DotterelweirError: CLAIMS_UNAVAILABLE (not run) if there is no
                decision within ``decision_timeout_s`` or by the deadline.
        """
        wait_s = min(
            self._settings.decision_timeout_s,
            max(0.0, deadline_s - self._timer.monotonic_s()),
        )
        timeout_error = claim_errors.unavailable(
            'The log did not decide on the claim in time'
        )
        try:
            with scopes.deadline(self._timer, wait_s, timeout_error):
                return await pending.decided
        except BaseException:
            decided = pending.decided
            if (
                decided.done()
                and not decided.cancelled()
                and decided.result().verdict is fold.Verdict.GRANTED
            ):
                self.release(pending.claim)
            raise
        finally:
            self._pending.pop(pending.claim.claim_id, None)

    def _apply(
        self,
        record: platform_api.LogRecord,
        decoded: records.ClaimRecord,
    ) -> None:
        """Applies one record of the stream and resolves pending claims."""
        decision = self._table.apply(record.offset, record.time_s, decoded)
        if not isinstance(decoded, records.Claim):
            for ended in self._repeat_waiters.get(decoded.key_hash, ()):
                _wake(ended)
        if isinstance(decoded, records.Release):
            self._releasing.discard(decoded.claim_id)
        if decision is None or not decision.claim_id.startswith(
            self._claim_prefix
        ):
            return
        events.log(
            LOG,
            events.CLAIM_DECIDED,
            claim_id=decision.claim_id,
            key_hash=decoded.key_hash,
            verdict=decision.verdict.value,
            offset=record.offset,
        )
        pending = self._pending.pop(decision.claim_id, None)
        if pending is not None and not pending.decided.done():
            pending.decided.set_result(decision)
        elif decision.verdict is fold.Verdict.GRANTED:
            # The caller already got an error that states "not run".
            self.release(decoded)

    async def _replay_or_refuse(
        self, decision: fold.Decision
    ) -> claims_api.Outcome:
        """Returns the recorded outcome, or raises the error of a refusal."""
        match decision.verdict:
            case fold.Verdict.ENDED if decision.outcome_offset is not None:
                return await self._read_outcome(decision)
            case fold.Verdict.MISMATCH:
                raise claim_errors.mismatch()
            case fold.Verdict.KEY_EXPIRED:
                raise claim_errors.key_expired()
            case fold.Verdict.KEY_IN_FUTURE:
                raise claim_errors.key_in_future()
            case _:
                raise claim_errors.in_progress()

    async def _read_outcome(
        self, decision: fold.Decision
    ) -> claims_api.Outcome:
        """Reads the outcome from the log; without response if it expired."""
        execution = decision.execution or errors.Execution.UNKNOWN
        try:
            page = await self._log.read(
                self._name, decision.outcome_offset, 1, 0.0
            )
        except errors.DotterelweirError as error:
            if error.kind is errors.ErrorKind.LOG_GAP:
                return claims_api.Outcome(execution)
            raise claim_errors.unavailable(
                'The recorded answer cannot be read now', execution
            ) from error
        for record in page.records:
            if record.offset == decision.outcome_offset:
                outcome = records.decode(record.data)
                return claims_api.Outcome(
                    outcome.execution,
                    outcome.status,
                    outcome.headers,
                    outcome.body,
                )
        return claims_api.Outcome(execution)


class ClaimGrant(claims_api.Grant):
    """A granted claim in a claim stream."""

    def __init__(
        self,
        stream: ClaimStream,
        claim: records.Claim,
        append: log_batcher.Append,
    ) -> None:
        """Creates a grant.

        Args:
            stream: The stream of the claim.
            claim: The claim.
            append: Its append, which has the time of the first attempt.
        """
        self._stream = stream
        self._claim = claim
        self._append = append

    def check_dispatch(self) -> None:
        self._stream.check_dispatch(self._append)

    def release(self) -> None:
        self._stream.release(self._claim)

    def end(self, outcome: claims_api.Outcome) -> None:
        store_body = self._stream.can_store_body(outcome.body)
        self._stream.append(
            records.Outcome(
                self._claim.claim_id,
                self._claim.key_hash,
                outcome.execution,
                outcome.status,
                outcome.headers if store_body else (),
                outcome.body if store_body else None,
            )
        )


def _wake(waiter: asyncio.Future) -> None:
    if not waiter.done():
        waiter.set_result(None)
