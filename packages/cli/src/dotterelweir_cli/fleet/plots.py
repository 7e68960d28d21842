"""What the plots of a deployment share."""

import pathlib

import matplotlib

matplotlib.use('Agg')

from matplotlib import figure  # noqa: E402
from matplotlib import pyplot  # noqa: E402


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
