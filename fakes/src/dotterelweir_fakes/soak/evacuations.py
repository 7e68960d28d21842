"""Random evacuations of zones, and the check that nothing is sent there."""

import asyncio
import random

import attrs

from dotterelweir_fakes.fleet import store as fleet_store

ZONES = ('zone-a', 'zone-b', 'zone-c')
# Time from the store's answer to an evacuation until which requests of an
# undisturbed instance may still arrive, in seconds; the users' limit.
_BOUND_S = 5.0
# Ranges of the duration of an evacuation and of the time between two, in
# seconds. An evacuation must last longer than the bound to be checked.
_DURATION_S = (6.5, 10.0)
_INTERVAL_S = (0.5, 2.5)
# Share of the evacuations during which a second zone is evacuated.
_SECOND_SHARE = 0.3
_TOPIC = 'keyed.op'


@attrs.define
class Evacuations:
    """Evacuates zones and checks what arrives there.

    Attributes:
        rng: Random source; its seed determines the sequence.
        store: Stand-in for the store.
        count: Number of evacuations.
        latest_s: Longest time from the store's answer to an arrival from an
            instance that was not disturbed since, in seconds.
        late: Arrivals in an evacuated zone after the bound, one line each.
    """

    rng: random.Random
    store: fleet_store.FakeStore
    count: int = 0
    latest_s: float = 0.0
    late: list[str] = attrs.field(factory=list)
    # Time on the event loop's clock since which a zone is evacuated, in
    # seconds. A rewind of the store may end or repeat an evacuation.
    _since_s: dict[str, float] = attrs.field(factory=dict)
    _era: int | None = None

    async def run(self) -> None:
        """Evacuates and restores zones until it is cancelled."""
        while True:
            await asyncio.sleep(self.rng.uniform(*_INTERVAL_S))
            zones = self.rng.sample(
                ZONES, 2 if self.rng.random() < _SECOND_SHARE else 1
            )
            for zone in zones:
                await self.evacuate(zone)
            await asyncio.sleep(self.rng.uniform(*_DURATION_S))
            for zone in zones:
                await self.restore(zone)

    async def evacuate(self, zone: str) -> None:
        """Writes the record that evacuates a zone.

        Args:
            zone: The zone.
        """
        self.count += 1
        await self.store.write_json(_TOPIC, f'evacuate/{zone}', {})
        now_s = asyncio.get_running_loop().time()
        if self._evacuated_since_s(zone, now_s) is None:
            raise RuntimeError('the store has lost a record')

    async def restore(self, zone: str) -> None:
        """Removes the record that evacuates a zone.

        Args:
            zone: The zone.
        """
        self._since_s.pop(zone, None)
        await self.store.write(_TOPIC, f'evacuate/{zone}', b'')

    def record_arrival(
        self,
        target_id: str,
        zone: str,
        instance: str,
        now_s: float,
        disturbed_s: float,
    ) -> None:
        """Checks a request of an instance at a target.

        Args:
            target_id: The target.
            zone: Zone of the target.
            instance: The instance.
            now_s: Time on the event loop's clock, in seconds.
            disturbed_s: Time of the last disturbance of the instance on that
                clock, in seconds.
        """
        since_s = self._evacuated_since_s(zone, now_s)
        if since_s is None:
            return
        if disturbed_s < since_s:
            self.latest_s = max(self.latest_s, now_s - since_s)
        late_s = now_s - max(since_s, disturbed_s) - _BOUND_S
        if late_s > 0:
            self.late.append(
                f'{target_id}: a request of {instance} arrived {late_s:.1f} s '
                f'too late in evacuated {zone}'
            )

    def _evacuated_since_s(self, zone: str, now_s: float) -> float | None:
        """Returns since when a zone is evacuated; None if it is not."""
        if self.store.era != self._era:
            self._era = self.store.era
            self._since_s.clear()
        if not self.store.newest(_TOPIC, f'evacuate/{zone}'):
            self._since_s.pop(zone, None)
            return None
        return self._since_s.setdefault(zone, now_s)
