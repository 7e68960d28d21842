"""Statistics of a run, computed from the logs of its gateways."""

import collections
import pathlib

import attrs
from matplotlib import pyplot

from dotterelweir_cli.fleet import logs
from dotterelweir_cli.fleet import plots

# Width of the bins of all statistics, in seconds.
_BIN_S = 1.0


@attrs.define
class RunStatistics:
    """Statistics of a run.

    Times of events are in seconds after the first log line of the run. Bins
    are identified by their index.

    Attributes:
        ended_requests: Numbers of requests that ended, by outcome and bin.
        first_event_s: Times from the request to the first event of complete
            generations, in seconds, by bin.
        longest_pauses_s: Longest pause of each complete generation, in
            seconds.
        handovers: Numbers of generations that continued at another engine,
            by way and bin.
        ready_target_counts: Time of each change of a target, in seconds, and
            the number of ready targets after it.
        store_outages_s: Times at which a gateway lost its connection to
            the store, in seconds.
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
    """Collects the statistics of a run.

    Args:
        lines: Log lines of all gateways, sorted by time.
    """
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
                # Every gateway logs the same change, so a target counts once
                # however many gateways have logged it as ready.
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
    """Returns the rows of a printed report: name and value of a statistic."""
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
    """Draws the statistics over time.

    Args:
        statistics: The statistics.
        path: File to write; its suffix selects the format.

    Raises:
        OSError: The file cannot be written.
        ValueError: The format of the suffix is not supported.
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
    """Draws counts per second as stacked areas in the order of their names."""
    plots.stack(axis, dict(sorted(counts.items())), _BIN_S, 1.0 / _BIN_S)
    axis.set_ylabel(label)
