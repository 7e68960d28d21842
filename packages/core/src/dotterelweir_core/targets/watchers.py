"""Choice of the instances that poll a target."""

from collections.abc import Iterable

import xxhash


def choose_watchers(
    target_id: str, instances: Iterable[str], count: int
) -> tuple[str, ...]:
    """Chooses the watchers of a target by rendezvous hashing.

    All instances with the same view of the live instances make the same
    choice, and a change of one instance reassigns only the targets that this
    instance watches.

    Args:
        target_id: Name of the target.
        instances: Names of the live instances in the target's zone.
        count: Number of watchers; 0 for all instances.

    Returns:
        Names of the chosen instances, by descending hash.
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
