"""A plot of what was in time, over the time of a load."""

import pathlib
import typing

from ferryledge.loads import _outcomes


def plot(
    title: str,
    rows: dict[str, list[float]],
    path: pathlib.Path,
) -> None:
    """Write a plot.

    :param title: above it
    :param rows: the share in time of each row of time, by the line's name
    :param path: the file to write
    """
    # Imported here: nothing else needs it, and it is large.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 3.5))
    for name, shares in rows.items():
        _draw(axes, name, shares)
    axes.set_title(title)
    axes.set_xlabel("sent at, s")
    axes.set_ylabel("share in time")
    axes.set_ylim(0.0, 1.03)
    axes.grid(alpha=0.3)
    axes.legend()
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=110)


def _draw(axes: typing.Any, name: str, shares: list[float]) -> None:
    at = [number * _outcomes.ROW_S for number in range(len(shares))]
    axes.plot(at, shares, label=name)
