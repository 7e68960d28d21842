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
class RunStatistics:
    """Figures of a run; times are in seconds after its first line.

    Attributes:
        ended_requests: Requests that ended, by outcome and bin.
        first_event_s: Times to the first event of complete generations, by
            bin.
        longest_pauses_s: Longest pauses of complete generations.
        handovers: Generations that went on elsewhere, by way and bin.
        ready_target_counts: Targets that take work, by time.
        store_outages_s: Times at which an instance lost the store.
    """

    ended_requests: dict[str, collections.Counter[int]] = attrs.field(
        factory=lambda: collections.defaultdict(collections.Counter)
    )
    first_event_s: dict[int, list[float]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    longest_pauses_s: list[float] = attrs.field(factory=list)
    handovers: dict[str, collections.Counter[int]] = attrs.field(
        factory=lambda: collections.defaultdict(collections.Counter)
    )
    ready_target_counts: list[tuple[float, int]] = attrs.field(factory=list)
    store_outages_s: list[float] = attrs.field(factory=list)


def collect(lines: list[logs.Line]) -> RunStatistics:
    """Collects the figures of a run."""
    statistics = RunStatistics()
    if not lines:
        return statistics
    start_time = lines[0].written_at
    ready_instances: dict[str, set[str]] = {}
    for line in lines:
        at_s = (line.written_at - start_time).total_seconds()
        bin_index = int(at_s / _BIN_S)
        fields = line.fields
        match line.message:
            case 'gateway-request-ended':
                statistics.ended_requests[fields['outcome']][bin_index] += 1
            case 'gateway-attempt-ended' if fields['end'] == 'complete':
                if fields.get('first_s') is not None:
                    statistics.first_event_s[bin_index].append(
                        fields['first_s']
                    )
                    statistics.longest_pauses_s.append(
                        fields['longest_pause_s']
                    )
            case 'generation-carried-over':
                statistics.handovers[fields['way']][bin_index] += 1
            case 'store-unreachable':
                statistics.store_outages_s.append(at_s)
            case 'target-changed':
                # Instances tell the same change; each target counts once.
                instances = ready_instances.setdefault(
                    fields['target_id'], set()
                )
                if fields['after'] == 'ready':
                    instances.add(line.instance_id)
                else:
                    instances.clear()
                statistics.ready_target_counts.append(
                    (
                        at_s,
                        sum(1 for names in ready_instances.values() if names),
                    )
                )
    return statistics


def statistic_rows(statistics: RunStatistics) -> list[list[object]]:
    """Sums for a printed report: a name and a figure each."""
    first_event_s = sorted(
        value
        for values in statistics.first_event_s.values()
        for value in values
    )
    rows: list[list[object]] = [
        [f'requests ended: {outcome}', sum(counts.values())]
        for outcome, counts in sorted(statistics.ended_requests.items())
    ]
    rows += [
        [f'handovers: {way}', sum(counts.values())]
        for way, counts in sorted(statistics.handovers.items())
    ]
    for name, values in (
        ('time to the first event (s)', first_event_s),
        (
            'longest pause of a generation (s)',
            sorted(statistics.longest_pauses_s),
        ),
    ):
        for quantile in (0.5, 0.9, 0.99):
            if values:
                rank = min(len(values) - 1, int(quantile * len(values)))
                rows.append(
                    [f'{name}, {quantile:.0%}', round(values[rank], 3)]
                )
    rows.append(['outages of the store seen', len(statistics.store_outages_s)])
    return rows


def draw(statistics: RunStatistics, path: pathlib.Path) -> None:
    """Draws the figures.

    Args:
        statistics: The figures.
        path: File to write, whose suffix chooses the format.

    Raises:
        OSError: The file cannot be written.
        ValueError: The suffix names no format.
    """
    run_figure, axes = pyplot.subplots(4, 1, figsize=(10, 11), sharex=True)
    _draw_counts(axes[0], statistics.ended_requests, 'requests ended a second')
    for bin_index, values in sorted(statistics.first_event_s.items()):
        axes[1].scatter(
            [bin_index * _BIN_S] * len(values), values, s=5, color='tab:blue'
        )
    axes[1].set_ylabel('first event (s)')
    _draw_counts(axes[2], statistics.handovers, 'handovers a second')
    if statistics.ready_target_counts:
        times_s, counts = zip(*statistics.ready_target_counts, strict=True)
        axes[3].step(times_s, counts, where='post')
    for at_s in statistics.store_outages_s:
        axes[3].axvline(at_s, color='tab:red', alpha=0.2)
    axes[3].set_ylabel('targets that take work')
    axes[3].set_xlabel('seconds after the first line')
    for axis in axes:
        axis.grid(alpha=0.3)
    plots.save(run_figure, path)


def _draw_counts(
    axis: pyplot.Axes,
    counts: dict[str, collections.Counter[int]],
    label: str,
) -> None:
    plots.stack(axis, dict(sorted(counts.items())), _BIN_S, 1.0 / _BIN_S)
    axis.set_ylabel(label)
