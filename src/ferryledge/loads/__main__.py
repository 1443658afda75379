"""``python -m ferryledge.loads``: replays loads, measures rules."""

import json
import pathlib
import statistics
import sys

import click

from ferryledge import loads

_NOT_IN_TIME = (
    loads.JobEnd.LATE,
    loads.JobEnd.REFUSED,
    loads.JobEnd.FAILED,
)
_File = click.Path(dir_okay=False, path_type=pathlib.Path)


def _read(path: pathlib.Path) -> loads.Load:
    try:
        return loads.read(path)
    except loads.LoadError as exc:
        raise click.UsageError(str(exc)) from exc


@click.group()
def main() -> None:
    """Replay loads in virtual time, from files in TOML."""


@main.command()
@click.option("--seed", default=1, show_default=True, help="Of all choices.")
@click.option(
    "--without",
    type=click.Choice(loads.rule_names()),
    help="Take this rule out.",
)
@click.option("--plot", type=_File, help="Write a plot to this file.")
@click.argument("file", type=_File)
def play(
    seed: int,
    without: str | None,
    plot: pathlib.Path | None,
    file: pathlib.Path,
) -> None:
    """Replay the load in FILE and print its results as JSON.

    Exits with 1 if a promise was broken.
    """
    load = _read(file)
    rules = loads.without(without) if without else None
    played = loads.play(load, seed, rules)
    ideal = loads.serve_ideally(load, seed)
    click.echo(json.dumps(_render(load, seed, played, ideal), indent=2))
    if plot:
        rows = {"played": played.by_time(), "one queue": ideal.by_time()}
        loads.plot(f"{load.name}, seed {seed}", rows, plot)
    sys.exit(int(bool(played.violations)))


def _render(
    load: loads.Load, seed: int, played: loads.Results, ideal: loads.Results
) -> dict[str, object]:
    return {
        "load": load.name,
        "seed": seed,
        "jobs": len(played.ended),
        "worth": round(played.worth, 3),
        "worth_of_one_queue": round(ideal.worth, 3),
        "in_time_by_kind": _rounded(played.by_kind()),
        "in_time_by_size": _rounded(played.by_size()),
        "in_time_by_half_second": [round(x, 2) for x in played.by_time()],
        "late": round(played.share(loads.JobEnd.LATE), 3),
        "refused": round(played.share(loads.JobEnd.REFUSED), 3),
        "failed": round(played.share(loads.JobEnd.FAILED), 3),
        "refused_within_s": round(played.refusal_s(), 3),
        "cores_at_work": round(played.at_work, 3),
        "cores_wasted": round(played.wasted, 3),
        "violations": list(played.violations),
    }


def _rounded(shares: dict[str, float]) -> dict[str, float]:
    return {name: round(share, 3) for name, share in shares.items()}


@main.command()
@click.option("--seeds", default=3, show_default=True, help="Draws a load.")
@click.option(
    "--rule",
    "rules",
    multiple=True,
    type=click.Choice(loads.rule_names()),
    help="Take this rule out; all, one by one, if none is given.",
)
@click.argument("files", nargs=-1, required=True, type=_File)
def ablate(
    seeds: int, rules: tuple[str, ...], files: tuple[pathlib.Path, ...]
) -> None:
    """Print a table of the worth that each rule brings on each load."""
    click.echo("| load | rule | worth gained | least | most |")
    click.echo("| --- | --- | --- | --- | --- |")
    read = [_read(file) for file in files]
    for gain in loads.measure(read, range(1, seeds + 1), rules):
        click.echo(
            f"| {gain.load} | {gain.rule} | {gain.mean:+.3f} "
            f"| {gain.least:+.3f} | {gain.most:+.3f} |"
        )


@main.command()
@click.option("--seeds", default=3, show_default=True, help="Draws a load.")
@click.argument("files", nargs=-1, required=True, type=_File)
def table(seeds: int, files: tuple[pathlib.Path, ...]) -> None:
    """Print a table of what becomes of each load."""
    click.echo(
        "| load | worth | one queue | worst kind | late | refused | failed "
        "| refused within, s | cores at work | cores wasted |"
    )
    click.echo("| --- |" + " --- |" * 9)
    for file in files:
        load = _read(file)
        played = [loads.play(load, one) for one in range(1, seeds + 1)]
        ideal = [loads.serve_ideally(load, one) for one in range(1, seeds + 1)]
        mean = statistics.mean
        cells = [
            mean(one.worth for one in played),
            mean(one.worth for one in ideal),
            mean(min(one.by_kind().values()) for one in played),
            *(mean(one.share(end) for one in played) for end in _NOT_IN_TIME),
            mean(one.refusal_s() for one in played),
            mean(one.at_work for one in played),
            mean(one.wasted for one in played),
        ]
        figures = " | ".join(f"{cell:.3f}" for cell in cells)
        click.echo(f"| {load.name} | {figures} |")


if __name__ == "__main__":
    main()
