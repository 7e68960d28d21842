"""The table of claims that is computed from one claim stream.

Every instance applies the same records in offset order and uses the time at
which the log appended them, so that all instances decide alike on each claim.
"""

import enum
import heapq

import attrs

from dotterelweir_core import errors
from dotterelweir_core.claims import keys
from dotterelweir_core.claims import records

# Expiries of released claims stay in the heap. It is rebuilt from the live
# claims once its size exceeds twice their number by this many.
_STALE_EXPIRIES_MAX = 1_024


class Verdict(enum.StrEnum):
    """Outcome of the decision on one claim."""

    GRANTED = 'granted'
    IN_PROGRESS = 'in progress'
    ENDED = 'ended'
    MISMATCH = 'mismatch'
    KEY_EXPIRED = 'key expired'
    KEY_IN_FUTURE = 'key in the future'


@attrs.define
class LiveClaim:
    """A claim that was granted and neither released nor evicted.

    Attributes:
        claim_id: Unique id of the claim.
        key_hash: Hash of organisation, route and idempotency key.
        request_hash: Hash of the request.
        expires_s: Time of the eviction, in seconds of the log's wall clock.
        execution: Whether the call was executed; None until it has ended.
        outcome_offset: Offset of the outcome record in the stream; None
            without one. The response itself is kept only in the log.
    """

    claim_id: str
    key_hash: str
    request_hash: str
    expires_s: float
    execution: errors.Execution | None = None
    outcome_offset: int | None = None


@attrs.frozen
class Decision:
    """The decision on one claim.

    Attributes:
        claim_id: Unique id of the claim.
        verdict: Outcome of the decision.
        execution: Whether the earlier call was executed, for ``ENDED``.
        outcome_offset: Offset of the record with the response to replay,
            for ``ENDED``.
    """

    claim_id: str
    verdict: Verdict
    execution: errors.Execution | None = None
    outcome_offset: int | None = None


class ClaimTable:
    """The live claims of one stream.

    Claims are evicted at the end of their window, which bounds the memory.
    """

    def __init__(self, window_s: float) -> None:
        """Creates an empty table.

        Args:
            window_s: Lifetime of a claim, in seconds.
        """
        self._window_s = window_s
        self._time_s = float('-inf')
        self._by_key: dict[str, LiveClaim] = {}
        self._expiries: list[tuple[float, str, str]] = []

    def __len__(self) -> int:
        return len(self._by_key)

    def find(self, key_hash: str) -> LiveClaim | None:
        """Returns the live claim of a key, as of the last applied record."""
        return self._by_key.get(key_hash)

    def evaluate(self, key_hash: str, request_hash: str) -> Verdict:
        """Evaluates a claim that is made now, without applying it.

        The age of the key is not checked.
        """
        entry = self._by_key.get(key_hash)
        if entry is None:
            return Verdict.GRANTED
        if entry.request_hash != request_hash:
            return Verdict.MISMATCH
        if entry.execution is not None:
            return Verdict.ENDED
        return Verdict.IN_PROGRESS

    def apply(
        self, offset: int, time_s: float, record: records.ClaimRecord
    ) -> Decision | None:
        """Applies the next record.

        Args:
            offset: Offset of the record.
            time_s: Time at which the log appended the record, in seconds of
                its wall clock.
            record: The record.

        Returns:
            The decision on a claim; None for other records and for a
            repeated append of a live claim.
        """
        self._time_s = max(self._time_s, time_s)
        self._evict()
        match record:
            case records.Claim():
                return self._apply_claim(record)
            case records.Release():
                entry = self._live_claim(record.claim_id, record.key_hash)
                if entry is not None and entry.execution is None:
                    del self._by_key[record.key_hash]
            case records.Outcome():
                entry = self._live_claim(record.claim_id, record.key_hash)
                if entry is not None and entry.execution is None:
                    entry.execution = record.execution
                    entry.outcome_offset = offset
        return None

    def _apply_claim(self, claim: records.Claim) -> Decision | None:
        if self._live_claim(claim.claim_id, claim.key_hash) is not None:
            return None
        key_created_s = (
            self._time_s if claim.key_time_s is None else claim.key_time_s
        )
        if key_created_s + self._window_s < self._time_s:
            return Decision(claim.claim_id, Verdict.KEY_EXPIRED)
        if key_created_s > self._time_s + keys.FUTURE_TOLERANCE_S:
            return Decision(claim.claim_id, Verdict.KEY_IN_FUTURE)
        verdict = self.evaluate(claim.key_hash, claim.request_hash)
        entry = self._by_key.get(claim.key_hash)
        if entry is not None:
            return Decision(
                claim.claim_id, verdict, entry.execution, entry.outcome_offset
            )
        # A key whose time is slightly in the future stays valid for longer
        # than the window after its claim; the claim must not expire earlier.
        expires_s = max(self._time_s, key_created_s) + self._window_s
        self._by_key[claim.key_hash] = LiveClaim(
            claim.claim_id, claim.key_hash, claim.request_hash, expires_s
        )
        heapq.heappush(
            self._expiries, (expires_s, claim.key_hash, claim.claim_id)
        )
        return Decision(claim.claim_id, verdict)

    def _live_claim(self, claim_id: str, key_hash: str) -> LiveClaim | None:
        entry = self._by_key.get(key_hash)
        if entry is None or entry.claim_id != claim_id:
            return None
        return entry

    def _evict(self) -> None:
        while self._expiries and self._expiries[0][0] < self._time_s:
            _, key_hash, claim_id = heapq.heappop(self._expiries)
            if self._live_claim(claim_id, key_hash) is not None:
                del self._by_key[key_hash]
        if len(self._expiries) > 2 * len(self) + _STALE_EXPIRIES_MAX:
            self._expiries = [
                (entry.expires_s, entry.key_hash, entry.claim_id)
                for entry in self._by_key.values()
            ]
            heapq.heapify(self._expiries)
