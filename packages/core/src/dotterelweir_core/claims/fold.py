"""The state of one claim stream.

Every instance folds the same records in offset order, and time is the log's
own, so that all take the same decision on each claim.
"""

import enum
import heapq

import attrs

from dotterelweir_core import errors
from dotterelweir_core.claims import keys
from dotterelweir_core.claims import records

# Expiries of released claims are dropped together once they outnumber the
# live ones by this many.
_STALE_EXPIRIES_MAX = 1_024


class Verdict(enum.StrEnum):
    """What the log says of one claim."""

    GRANTED = 'granted'
    IN_PROGRESS = 'in progress'
    ENDED = 'ended'
    MISMATCH = 'mismatch'
    KEY_EXPIRED = 'key expired'
    KEY_IN_FUTURE = 'key in the future'


@attrs.define
class LiveClaim:
    """The live claim of a key.

    Attributes:
        claim_id: Name of the claim.
        key_hash: Hash of its key.
        request_hash: Hash of its request.
        expires_s: When it is evicted, in wall seconds of the log.
        execution: Whether the call ran; None while it is running.
        outcome_offset: Offset of the outcome record; None without one. The
            answer itself stays in the log.
    """

    claim_id: str
    key_hash: str
    request_hash: str
    expires_s: float
    execution: errors.Execution | None = None
    outcome_offset: int | None = None


@attrs.frozen
class Decision:
    """The verdict on one claim.

    Attributes:
        claim_id: Name of the claim.
        verdict: What the log says.
        execution: Whether the earlier call ran, for ``ENDED``.
        outcome_offset: Where the answer to replay is, for ``ENDED``.
    """

    claim_id: str
    verdict: Verdict
    execution: errors.Execution | None = None
    outcome_offset: int | None = None


class ClaimTable:
    """The live claims of one stream; memory is bounded by the window."""

    def __init__(self, window_s: float) -> None:
        """Creates an empty table.

        Args:
            window_s: How long a claim lives, in seconds.
        """
        self._window_s = window_s
        self._time_s = float('-inf')
        self._by_key: dict[str, LiveClaim] = {}
        self._expiries: list[tuple[float, str, str]] = []

    def __len__(self) -> int:
        return len(self._by_key)

    def find(self, key_hash: str) -> LiveClaim | None:
        """The live claim of a key, as far as the stream was read."""
        return self._by_key.get(key_hash)

    def evaluate(self, key_hash: str, request_hash: str) -> Verdict:
        """What a claim of a key would get now; changes nothing."""
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
            time_s: When the log took the record, in wall seconds.
            record: The record.

        Returns:
            The decision on a claim. None for other records and for a
            repeated append of the live claim.
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
        # A key from slightly ahead stays valid for longer than the window
        # after its claim, and the claim must outlive it.
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
