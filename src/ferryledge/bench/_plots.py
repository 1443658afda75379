"""Plots of response and messages against load."""

from collections import abc
import pathlib
import typing

from ferryledge.bench import _results

_LOADS = ("load_0.3", "load_0.6", "load_0.8", "load_0.9")


def _axes() -> typing.Any:
    # Imported here: only the bench needs it, and it is large.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    return pyplot.subplots(1, 2, figsize=(10, 4))


def plot_loads(
    results: abc.Sequence[_results.Result], folder: pathlib.Path
) -> None:
    """Write the plot of slowdown and messages against load."""
    figure, (left, right) = _axes()
    strategies = list(dict.fromkeys(one.strategy for one in results))
    for strategy in strategies:
        points = [
            one
            for one in results
            if one.strategy == strategy and one.case in _LOADS
        ]
        loads = [one.load for one in points]
        left.plot(
            loads,
            [one.slowdown_p99 for one in points],
            marker="o",
            label=strategy,
        )
        right.plot(
            loads,
            [one.messages_per_task for one in points],
            marker="o",
            label=strategy,
        )
    left.set_yscale("log")
    left.set_ylabel("slowdown, 99th percentile")
    right.set_ylabel("messages a task")
    for axes in (left, right):
        axes.set_xlabel("load")
        axes.grid(alpha=0.3)
    left.legend()
    figure.tight_layout()
    folder.mkdir(parents=True, exist_ok=True)
    figure.savefig(folder / "load.png", dpi=110)


def plot_knob(
    results: abc.Sequence[_results.Result], folder: pathlib.Path
) -> None:
    """Write the curve of slowdown against messages along the knob."""
    figure, (left, right) = _axes()
    values = [float(one.strategy.split()[1]) for one in results]
    points = [one.slowdown_p99 for one in results]
    messages = [one.messages_per_task for one in results]
    wasted = [one.wasted_per_task for one in results]
    left.plot(messages, points, marker="o")
    for value, x, y in zip(values, messages, points, strict=True):
        left.annotate(f"{value:g}", (x, y))
    left.set_xlabel("messages a task")
    left.set_ylabel("slowdown, 99th percentile")
    right.plot(values, wasted, marker="o")
    right.set_xlabel("direct_load")
    right.set_ylabel("wasted messages a task")
    for axes in (left, right):
        axes.grid(alpha=0.3)
    figure.tight_layout()
    folder.mkdir(parents=True, exist_ok=True)
    figure.savefig(folder / "knob.png", dpi=110)
