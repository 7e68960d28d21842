"""Functions that the plots of a deployment share."""

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
    """Draws counts over time as stacked areas with a legend.

    Args:
        axis: Axes to draw into.
        counts: Counts by name and index of the bin.
        bin_s: Width of a bin, in seconds.
        scale: Factor by which each count is multiplied.
    """
    if not counts:
        return
    last_bin = max(
        (
            max(counts_by_bin)
            for counts_by_bin in counts.values()
            if counts_by_bin
        ),
        default=0,
    )
    bins = range(last_bin + 1)
    axis.stackplot(
        [index * bin_s for index in bins],
        [
            [counts_by_bin.get(i, 0) * scale for i in bins]
            for counts_by_bin in counts.values()
        ],
        labels=list(counts),
    )
    axis.legend(fontsize='x-small', loc='upper right')


def save(plot_figure: figure.Figure, path: pathlib.Path) -> None:
    """Writes a figure into a file and closes it.

    Args:
        plot_figure: The figure.
        path: File to write; its suffix selects the format.

    Raises:
        OSError: The file cannot be written.
        ValueError: The format of the suffix is not supported.
    """
    plot_figure.tight_layout()
    try:
        plot_figure.savefig(path, dpi=100)
    finally:
        pyplot.close(plot_figure)
