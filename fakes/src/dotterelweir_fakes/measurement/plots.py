"""Plots the measured ratios."""

import math

import matplotlib

from dotterelweir_fakes.measurement import campaign
from dotterelweir_fakes.measurement import policies

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402


def draw(all_rows: list[campaign.Row], path: str) -> None:
    """Plots every measure relative to the better baseline.

    Args:
        all_rows: Measures of all deployments.
        path: File to write; its suffix selects the format.
    """
    policy_names = [*policies.BASELINES, policies.CHOSEN, policies.IDEAL]
    deployments = list(dict.fromkeys(row.deployment for row in all_rows))
    figure, axes = pyplot.subplots(
        1, len(deployments), figsize=(12, 4.8), sharey=True, squeeze=False
    )
    for axis, deployment in zip(axes[0], deployments, strict=True):
        rows = [row for row in all_rows if row.deployment == deployment]
        width = 0.8 / len(policy_names)
        for index, name in enumerate(policy_names):
            _draw_policy(axis, rows, name, index, width)
        for position, row in enumerate(rows):
            axis.hlines(
                row.measure.objective,
                position - 0.45,
                position + 0.45,
                colors='black',
                linestyles='dashed',
                label='objective' if position == 0 else None,
            )
        axis.set_title(deployment)
        axis.set_yscale('log')
        axis.set_xticks(
            range(len(rows)),
            [row.measure.title for row in rows],
            rotation=25,
            ha='right',
        )
        axis.grid(axis='y', alpha=0.3)
    axes[0][0].set_ylabel('relative to the better baseline')
    axes[0][-1].legend(fontsize='small')
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


def _draw_policy(
    axis: pyplot.Axes,
    rows: list[campaign.Row],
    name: str,
    index: int,
    width: float,
) -> None:
    heights, low, high = [], [], []
    for row in rows:
        best_baseline = row.measure.best(
            [row.medians[other] for other in policies.BASELINES]
        )
        scale = (
            1.0 / best_baseline
            if best_baseline and math.isfinite(best_baseline)
            else 1.0
        )
        median = min(row.medians[name] * scale, 1e3)
        least, greatest = row.spreads[name]
        heights.append(max(median, 1e-3))
        low.append(max(0.0, median - max(least * scale, 1e-3)))
        high.append(max(0.0, min(greatest * scale, 1e3) - median))
    positions = [
        position - 0.4 + (index + 0.5) * width for position in range(len(rows))
    ]
    axis.bar(positions, heights, width, label=name.replace('_', ' '))
    axis.errorbar(
        positions,
        heights,
        yerr=(low, high),
        fmt='none',
        ecolor='grey',
        elinewidth=0.8,
    )
