"""Reports evacuations of availability zones."""

import logging

import attrs

from dotterelweir_core import bounded_map
from dotterelweir_core import events
from dotterelweir_core.gateway import evacuations
from dotterelweir_core.gateway import targets
from dotterelweird.gateway import statistics

LOG = logging.getLogger(__name__)

# Maximum number of rejected zones that are remembered, so that each is logged
# once although peers send their findings again.
_REJECTED_MAX = 64


@attrs.define
class EvacuationReporter:
    """Logs and counts evacuations.

    Attributes:
        registry: The evacuated zones.
        directory: The registered targets.
        statistics: Metrics of the process.
    """

    registry: evacuations.EvacuationRegistry
    directory: targets.TargetDirectory
    statistics: statistics.Statistics
    _rejected: bounded_map.BoundedMap[str, None] = attrs.field(
        factory=lambda: bounded_map.BoundedMap(_REJECTED_MAX)
    )

    def report(
        self, evacuation: evacuations.Evacuation, change: evacuations.Change
    ) -> None:
        """Logs and counts a change of a zone.

        Args:
            evacuation: The new state of the zone.
            change: The change.
        """
        zone = evacuation.zone
        fields = {
            'zone': zone,
            'offset': evacuation.offset,
            'era': evacuation.era,
        }
        if change is evacuations.Change.REJECTED:
            if zone not in self._rejected:
                self._rejected.put(zone, None)
                events.log(LOG, events.EVACUATION_REJECTED, **fields)
            return
        self.statistics.evacuations.inc({'change': change.value})
        self.statistics.evacuated_zones.set({}, len(self.registry.zones))
        registered = self.directory.targets.values()
        count = sum(target.zone == zone for target in registered)
        match change:
            case evacuations.Change.EVACUATED:
                events.log(LOG, events.ZONE_EVACUATED, **fields, targets=count)
                # Without any target, none may have been read yet.
                if registered and not count:
                    events.log(LOG, events.EVACUATED_ZONE_UNKNOWN, zone=zone)
            case evacuations.Change.RESTORED:
                events.log(LOG, events.ZONE_RESTORED, **fields, targets=count)
