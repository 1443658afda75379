"""``python -m ferryledge.bench``: prints JSON lines, writes plots."""

import dataclasses
import json
import pathlib

import click

from ferryledge import bench
from ferryledge.bench import _plots

_DEFAULT_PLOTS = pathlib.Path("docs/plots")


@click.command()
@click.option("--seeds", default=5, show_default=True, help="Runs a case.")
@click.option("--only", multiple=True, help="Names of cases; all if none.")
@click.option(
    "--plots",
    default=_DEFAULT_PLOTS,
    type=click.Path(file_okay=False, path_type=pathlib.Path),
    show_default=True,
    help="Folder for the plots.",
)
@click.option("--no-plots", is_flag=True, help="Write no plots.")
def main(
    seeds: int, only: tuple[str, ...], plots: pathlib.Path, no_plots: bool
) -> None:
    """Measure the decisions in virtual time, beside baselines."""
    results = []
    for case in bench.CASES:
        if only and case.name not in only:
            continue
        for result in bench.run_case(case, seeds=seeds):
            print(json.dumps(dataclasses.asdict(result)), flush=True)
            results.append(result)
    if not no_plots:
        _plots.plot_loads(results, plots)


if __name__ == "__main__":
    main()
