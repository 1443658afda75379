"""``python -m ferryledge.capacity``: measures slopes, makes the page."""

import dataclasses
import json
import pathlib

import click

from ferryledge import capacity

_PAGE = pathlib.Path("docs/CAPACITY.md")
_SWEEP = pathlib.Path("docs/sweep.jsonl")


@click.group()
def main() -> None:
    """Measure what each role costs and work out other sizes."""


@main.command()
def measure() -> None:
    """Print the slopes as JSON lines."""
    for slope in capacity.measure_all():
        print(json.dumps(dataclasses.asdict(slope)), flush=True)


@main.command()
@click.argument(
    "file", type=click.Path(dir_okay=False, path_type=pathlib.Path)
)
@click.option(
    "--out",
    default=_PAGE,
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    show_default=True,
    help="The page.",
)
@click.option(
    "--sweep",
    default=_SWEEP,
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    show_default=True,
    help="What the users' sweep showed.",
)
def page(file: pathlib.Path, out: pathlib.Path, sweep: pathlib.Path) -> None:
    """Make the page of the slopes in FILE and of the sweep."""
    lines = file.read_text().splitlines()
    slopes = [capacity.read_slope(line) for line in lines]
    rows = sweep.read_text().splitlines()
    swept = [capacity.read_swept(line) for line in rows]
    out.write_text(capacity.render_page(slopes, swept))


if __name__ == "__main__":
    main()
