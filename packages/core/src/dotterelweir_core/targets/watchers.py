"""The choice of the instances that poll a target."""

from collections.abc import Iterable

import xxhash


def choose_watchers(
    target_id: str, instances: Iterable[str], count: int
) -> tuple[str, ...]:
    """Chooses instances by rendezvous hashing.

    Every instance that sees the same live instances makes the same choice,
    and a change of one instance moves only the targets that it watched.

    Args:
        target_id: Name of the target.
        instances: Names of the live instances in the target's zone.
        count: How many are wanted; 0 for all.
    """
    ranked = sorted(
        instances,
        key=lambda name: (
            xxhash.xxh3_64_intdigest(f'{name}\0{target_id}'.encode()),
            name,
        ),
        reverse=True,
    )
    return tuple(ranked[:count] if count else ranked)
