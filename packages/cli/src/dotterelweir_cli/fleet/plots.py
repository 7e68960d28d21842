"""What the plots of a deployment share."""

from collections.abc import Mapping
import pathlib

import matplotlib

matplotlib.use('Agg')

from matplotlib import figure  # noqa: E402
from matplotlib import pyplot  # noqa: E402


def stack(
    axis: pyplot.Axes,
    counts: Mapping[str, Mapping[int, int]],
    bin_s: float,
    scale: float = 1.0,
) -> None:
    """Stacks counts over time.

    Args:
        axis: Where to draw.
        counts: Counts by name and bin.
        bin_s: Width of a bin, in seconds.
        scale: Factor of each count.
    """
    if not counts:
        return
    last = max((max(one) for one in counts.values() if one), default=0)
    bins = range(last + 1)
    axis.stackplot(
        [index * bin_s for index in bins],
        [[one.get(i, 0) * scale for i in bins] for one in counts.values()],
        labels=list(counts),
    )
    axis.legend(fontsize='x-small', loc='upper right')


def save(drawn: figure.Figure, path: pathlib.Path) -> None:
    """Writes a figure into a file and closes it.

    Args:
        drawn: The figure.
        path: File to write, whose suffix chooses the format.

    Raises:
        OSError: The file cannot be written.
        ValueError: The suffix names no format.
    """
    drawn.tight_layout()
    try:
        drawn.savefig(path, dpi=100)
    finally:
        pyplot.close(drawn)
