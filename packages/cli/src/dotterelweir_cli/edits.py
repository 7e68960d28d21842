"""Reads the tables from the configuration log and appends edits to it.

The client folds the log with the same function as the instances. It computes
the result of its edit from the log and needs no response from an instance.
"""

import asyncio
import enum
import random
import uuid

import attrs

from dotterelweir_core import backoff
from dotterelweir_core import errors
from dotterelweir_core.tables import fold
from dotterelweir_core.tables import model
from dotterelweir_core.tables import records
from dotterelweir_logservice import api as platform_api
from dotterelweir_logservice import tables as platform_tables

_PAGE_RECORDS = 500
_READ_WAIT_S = 0.5


class EditOutcome(enum.StrEnum):
    """Outcomes of an edit."""

    ACCEPTED = 'accepted'
    REJECTED = 'rejected'
    UNKNOWN = 'unknown'


@attrs.frozen
class EditReport:
    """The result of an edit, as shown to the operator.

    Attributes:
        outcome: Accepted, rejected or unknown.
        edit_id: Identifier of the edit; repeating the edit with the same
            identifier is safe.
        read_offset: Log offset of the state that the edit is based on.
        offset: Log offset of the record that decided the edit; None if
            unknown.
        revision: Revision of the tables after the edit; None if unknown.
        details: Reasons for a rejection or for an unknown outcome.
        standing: Current state of the rows that the edit names.
    """

    outcome: EditOutcome
    edit_id: str
    read_offset: int
    offset: int | None = None
    revision: int | None = None
    details: tuple[str, ...] = ()
    standing: tuple[fold.CurrentRow, ...] = ()


def new_edit_id() -> str:
    """Returns a unique identifier for an edit."""
    return str(uuid.uuid4())


class TablesEditor:
    """Reads and edits the tables of one configuration stream.

    Args:
        log: Client of the log.
        stream: Name of the configuration stream.
        timeout_s: Time limit of an edit and its confirmation, in seconds.
        rng: Random source of the backoff.
    """

    def __init__(
        self,
        log: platform_api.LogClient,
        stream: str,
        timeout_s: float,
        rng: random.Random,
    ) -> None:
        self._log = log
        self._stream = stream
        self._timeout_s = timeout_s
        self._rng = rng

    async def read(self) -> fold.TablesState:
        """Reads the state after the newest record of the log.

        Raises:
            DotterelweirError: LOG_UNAVAILABLE if the log cannot be read;
                LOG_GAP if records have expired and no checkpoint covers
                them.
        """
        replayed = await platform_tables.replay_tables(
            self._log, self._stream, _PAGE_RECORDS
        )
        return replayed.state

    def dry_run(
        self, state: fold.TablesState, edit: records.EditRecord
    ) -> EditReport:
        """Computes the result of an edit without appending it.

        Args:
            state: The state that was read before; it is not changed.
            edit: The edit.

        Returns:
            The result that the edit would have as the next record.
        """
        state_copy = attrs.evolve(
            state,
            revisions=dict(state.revisions),
            tombstones=dict(state.tombstones),
            decisions=dict(state.decisions),
        )
        result = fold.apply(state_copy, state_copy.offset + 1, edit)
        return _make_report(edit, result, state_copy.tables)

    async def submit(
        self, state: fold.TablesState, edit: records.EditRecord
    ) -> EditReport:
        """Appends an edit and reads the log until the edit is decided.

        Args:
            state: The state that was read before; newer records are folded
                into it.
            edit: The edit.

        Returns:
            The result; its outcome is unknown if the record of the edit was
            not read within the time limit.
        """
        try:
            async with asyncio.timeout(self._timeout_s):
                await self._append(edit)
                return await self._await_result(state, edit)
        except TimeoutError:
            return EditReport(
                EditOutcome.UNKNOWN,
                edit.edit_id,
                edit.read_offset,
                details=('the edit did not appear in the log in time',),
            )

    async def _append(self, edit: records.EditRecord) -> None:
        # A failed append may have taken effect. Repeating it is safe because
        # the fold gives every copy of an edit the same result.
        delays = backoff.Backoff(self._rng, first_s=0.1, cap_s=1.0)
        while True:
            try:
                await self._log.append(
                    self._stream, (records.encode(edit),), self._timeout_s
                )
            except errors.DotterelweirError:
                await asyncio.sleep(delays.next_delay_s() or 0.0)
                continue
            return

    async def _await_result(
        self, state: fold.TablesState, edit: records.EditRecord
    ) -> EditReport:
        delays = backoff.Backoff(self._rng, first_s=0.1, cap_s=1.0)
        while True:
            try:
                page = await self._log.read(
                    self._stream,
                    state.offset + 1,
                    _PAGE_RECORDS,
                    _READ_WAIT_S,
                )
            except errors.DotterelweirError:
                await asyncio.sleep(delays.next_delay_s() or 0.0)
                continue
            delays.reset()
            for record in page.records:
                result = fold.fold(state, record.offset, record.data)
                if (
                    isinstance(result, fold.EditResult)
                    and result.decision.edit_id == edit.edit_id
                ):
                    return _make_report(edit, result, state.tables)


def _make_report(
    edit: records.EditRecord, result: fold.EditResult, tables: model.Tables
) -> EditReport:
    accepted = result.decision.accepted
    return EditReport(
        EditOutcome.ACCEPTED if accepted else EditOutcome.REJECTED,
        edit.edit_id,
        edit.read_offset,
        offset=result.decision.offset,
        revision=tables.revision,
        details=result.decision.details,
        standing=result.rows,
    )
