"""Reading the tables from the log and editing them.

The client folds the same log with the same function as every instance, so it
knows the result of its edit without asking one.
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
    """What became of an edit."""

    ACCEPTED = 'accepted'
    REJECTED = 'rejected'
    UNKNOWN = 'unknown'


@attrs.frozen
class EditReport:
    """The result of an edit, for the operator.

    Attributes:
        outcome: Accepted, rejected or unknown.
        edit_id: Name of the edit; the same edit can be repeated with it.
        read_offset: Offset that the edit was based on.
        offset: Offset at which it was decided; None if unknown.
        revision: Revision of the tables after it; None if unknown.
        details: Reasons for a rejection.
        standing: The rows that the edit names, as they stand now.
    """

    outcome: EditOutcome
    edit_id: str
    read_offset: int
    offset: int | None = None
    revision: int | None = None
    details: tuple[str, ...] = ()
    standing: tuple[fold.CurrentRow, ...] = ()


def new_edit_id() -> str:
    """A unique name of an edit."""
    return str(uuid.uuid4())


class TablesEditor:
    """Reads and edits the tables of one configuration stream."""

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
        """The state after the newest record of the log.

        Raises:
            DotterelweirError: The log cannot be read, or has lost records
                that no checkpoint covers.
        """
        replayed = await platform_tables.read_start(
            self._log, self._stream, _PAGE_RECORDS
        )
        return replayed.state

    def dry_run(
        self, state: fold.TablesState, edit: records.EditRecord
    ) -> EditReport:
        """What an edit would do now, without appending it."""
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
        """Appends an edit and follows the log until it is decided.

        Args:
            state: The state that was read before; it is folded further.
            edit: The edit.

        Returns:
            The result; unknown if the log did not show it in time.
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
                details=('the log did not show the edit in time',),
            )

    async def _append(self, edit: records.EditRecord) -> None:
        # A failed append may have taken effect. Repeating it is safe, since
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
