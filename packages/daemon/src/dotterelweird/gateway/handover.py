"""Handover of an interrupted generation to another engine."""

import enum

import attrs

from dotterelweird.gateway import run_record


class HandoverWay(enum.Enum):
    """Origin of the copy from which a run continues."""

    EVACUATED = 'moved before its engine left'
    COPIED = 'copied before its engine stopped it'
    MOVED = 'moved when its link ended'
    STAYED = 'stopped and kept at its engine'
    BACKUP = 'copy kept meanwhile, engine has no such run'
    BACKUP_UNREACHED = 'copy kept meanwhile, engine not reached'


@attrs.frozen
class Handover:
    """Engines at which a generation can continue.

    Attributes:
        ways: The engines with their copies, in order of preference.
        way: Origin of the first copy.
    """

    ways: tuple[run_record.Way, ...]
    way: HandoverWay


def find(record: run_record.RunRecord) -> Handover | None:
    """Returns where an interrupted run can continue.

    Args:
        record: Record of the run.

    Returns:
        The handover; None while the engine may work on the run, or without a
        copy to continue from.
    """
    ways = record.ways
    if not ways:
        return None
    match record.state:
        case run_record.SourceState.STOPPED if record.stayed is not None:
            way = HandoverWay.STAYED
        case _ if record.newest is not None and record.leaving:
            way = HandoverWay.EVACUATED
        case _ if record.newest is not None and record.stop_answered:
            way = HandoverWay.MOVED
        case _ if record.newest is not None:
            way = HandoverWay.COPIED
        case run_record.SourceState.ENDED:
            way = HandoverWay.BACKUP_UNREACHED
        case _:
            way = HandoverWay.BACKUP
    return Handover(ways, way)
