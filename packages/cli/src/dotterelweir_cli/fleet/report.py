"""Figures of a run, drawn from the logs of its gateways."""

import collections
import pathlib

import attrs
from matplotlib import pyplot

from dotterelweir_cli.fleet import logs
from dotterelweir_cli.fleet import plots

# Width of the bins of all figures, in seconds.
_BIN_S = 1.0


@attrs.define
class Figures:
    """Figures of a run; times are in seconds after its first line.

    Attributes:
        ends: Requests that ended, by outcome and bin.
        first_s: Times to the first event of complete generations, by bin.
        pauses_s: Longest pauses of complete generations.
        handovers: Generations that went on elsewhere, by way and bin.
        targets: Targets that take work, by time.
        outages: Times at which an instance lost the store.
    """

    ends: dict[str, collections.Counter[int]] = attrs.field(
        factory=lambda: collections.defaultdict(collections.Counter)
    )
    first_s: dict[int, list[float]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    pauses_s: list[float] = attrs.field(factory=list)
    handovers: dict[str, collections.Counter[int]] = attrs.field(
        factory=lambda: collections.defaultdict(collections.Counter)
    )
    targets: list[tuple[float, int]] = attrs.field(factory=list)
    outages: list[float] = attrs.field(factory=list)


def collect(lines: list[logs.Line]) -> Figures:
    """Collects the figures of a run."""
    figures = Figures()
    if not lines:
        return figures
    started = lines[0].at
    ready: dict[str, set[str]] = {}
    for line in lines:
        at_s = (line.at - started).total_seconds()
        index = int(at_s / _BIN_S)
        fields = line.fields
        match line.message:
            case 'gateway-request-ended':
                figures.ends[fields['outcome']][index] += 1
            case 'gateway-attempt-ended' if fields['end'] == 'complete':
                if fields.get('first_s') is not None:
                    figures.first_s[index].append(fields['first_s'])
                    figures.pauses_s.append(fields['longest_pause_s'])
            case 'generation-carried-over':
                figures.handovers[fields['way']][index] += 1
            case 'store-unreachable':
                figures.outages.append(at_s)
            case 'target-changed':
                # Instances tell the same change; each target counts once.
                holders = ready.setdefault(fields['target_id'], set())
                if fields['after'] == 'ready':
                    holders.add(line.instance_id)
                else:
                    holders.clear()
                figures.targets.append(
                    (at_s, sum(1 for seen in ready.values() if seen))
                )
    return figures


def table(figures: Figures) -> list[list[object]]:
    """Sums for a printed report: a name and a figure each."""
    first_s = sorted(
        value for values in figures.first_s.values() for value in values
    )
    rows: list[list[object]] = [
        [f'requests ended: {outcome}', sum(counts.values())]
        for outcome, counts in sorted(figures.ends.items())
    ]
    rows += [
        [f'handovers: {way}', sum(counts.values())]
        for way, counts in sorted(figures.handovers.items())
    ]
    for name, values in (
        ('time to the first event (s)', first_s),
        ('longest pause of a generation (s)', sorted(figures.pauses_s)),
    ):
        for share in (0.5, 0.9, 0.99):
            if values:
                at = min(len(values) - 1, int(share * len(values)))
                rows.append([f'{name}, {share:.0%}', round(values[at], 3)])
    rows.append(['outages of the store seen', len(figures.outages)])
    return rows


def draw(figures: Figures, path: pathlib.Path) -> None:
    """Draws the figures.

    Args:
        figures: The figures.
        path: File to write, whose suffix chooses the format.

    Raises:
        OSError: The file cannot be written.
        ValueError: The suffix names no format.
    """
    drawn, axes = pyplot.subplots(4, 1, figsize=(10, 11), sharex=True)
    _draw_counts(axes[0], figures.ends, 'requests ended a second')
    for index, values in sorted(figures.first_s.items()):
        axes[1].scatter(
            [index * _BIN_S] * len(values), values, s=5, color='tab:blue'
        )
    axes[1].set_ylabel('first event (s)')
    _draw_counts(axes[2], figures.handovers, 'handovers a second')
    if figures.targets:
        times_s, counts = zip(*figures.targets, strict=True)
        axes[3].step(times_s, counts, where='post')
    for at_s in figures.outages:
        axes[3].axvline(at_s, color='tab:red', alpha=0.2)
    axes[3].set_ylabel('targets that take work')
    axes[3].set_xlabel('seconds after the first line')
    for axis in axes:
        axis.grid(alpha=0.3)
    plots.save(drawn, path)


def _draw_counts(
    axis: pyplot.Axes,
    counts: dict[str, collections.Counter[int]],
    label: str,
) -> None:
    plots.stack(axis, dict(sorted(counts.items())), _BIN_S, 1.0 / _BIN_S)
    axis.set_ylabel(label)
