"""``python -m ferryledge.bench``: prints JSON lines, writes plots."""

import dataclasses
import json
import pathlib

import click

from ferryledge import bench
from ferryledge.bench import _live
from ferryledge.bench import _plots
from ferryledge.bench import _tables

_KNOB = (0.0, 0.2, 0.3, 0.4, 0.5, 0.7)
_DOCS = pathlib.Path("docs")
_DEFAULT_PLOTS = _DOCS / "plots"


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
@click.option(
    "--what",
    type=click.Choice(["cases", "ablations", "knob", "live", "tables"]),
    default="cases",
    show_default=True,
    help="What to run.",
)
@click.option("--no-plots", is_flag=True, help="Write no plots.")
def main(
    seeds: int,
    only: tuple[str, ...],
    plots: pathlib.Path,
    what: str,
    no_plots: bool,
) -> None:
    """Measure the decisions in virtual time, beside baselines."""
    match what:
        case "ablations":
            _print(bench.run_ablations(seeds))
        case "knob":
            results = bench.run_knob(_KNOB, seeds)
            _print(results)
            if not no_plots:
                _plots.plot_knob(results, plots)
        case "live":
            live = _live.measure_live()
            print(json.dumps(dataclasses.asdict(live)))
        case "tables":
            page = _tables.page(_DOCS)
            (_DOCS / "bench-tables.md").write_text(page)
        case _:
            _run_cases(seeds, only, None if no_plots else plots)


def _print(results: list[bench.Result]) -> None:
    for result in results:
        print(json.dumps(dataclasses.asdict(result)), flush=True)


def _run_cases(
    seeds: int, only: tuple[str, ...], plots: pathlib.Path | None
) -> None:
    results = []
    for case in bench.CASES:
        if only and case.name not in only:
            continue
        found = bench.run_case(case, seeds=seeds)
        _print(found)
        results += found
    if plots is not None:
        _plots.plot_loads(results, plots)


if __name__ == "__main__":
    main()
