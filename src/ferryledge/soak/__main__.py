"""The command ``ferryledge-soak``."""

import dataclasses
import json
import subprocess
import sys

import click

from ferryledge.soak import _plan
from ferryledge.soak import _run


@click.command(epilog="Example: ferryledge-soak --seed 1 --seeds 50")
@click.option("--seed", default=1, help="The first seed.")
@click.option("--seeds", default=1, help="How many seeds, one by one.")
@click.option("--seconds", default=20.0, help="Length of the load.")
@click.option("--entries", default=3, help="Entry processes.")
@click.option("--agents", default=5, help="Agent processes.")
@click.option(
    "--clients",
    default=_plan.CLIENTS,
    show_default=True,
    help="Clients, each with one job at a time.",
)
@click.option(
    "--work",
    "work_s",
    multiple=True,
    type=float,
    default=_plan.WORK_S,
    show_default=True,
    help="Seconds that the tasks of a job take; may be given several times.",
)
@click.option(
    "--kinds",
    "kind_set",
    type=click.Choice([*_plan.KIND_SETS]),
    default="single",
    show_default=True,
    help="Play faults that strike one thing, many at once, or both.",
)
@click.option(
    "--only",
    multiple=True,
    type=click.Choice([kind.value for kind in _plan.KIND_SETS["all"]]),
    help="Play faults of this kind alone; may be given several times.",
)
@click.option(
    "--gap",
    "mean_gap_s",
    default=_plan.MEAN_GAP_S,
    show_default=True,
    help="Mean seconds between faults.",
)
@click.option(
    "--late-requests",
    type=click.FloatRange(0.0, 1.0),
    default=0.0,
    show_default=True,
    help="Share of the jobs whose first request arrives after its repetition.",
)
@click.option(
    "--silent-clients",
    type=click.FloatRange(0.0, 1.0),
    default=0.0,
    show_default=True,
    help=(
        "Share of the other jobs whose client repeats them without closing"
        " the connection to their first entry."
    ),
)
def main(
    seed: int,
    seeds: int,
    seconds: float,
    entries: int,
    agents: int,
    clients: int,
    work_s: tuple[float, ...],
    kind_set: str,
    only: tuple[str, ...],
    mean_gap_s: float,
    late_requests: float,
    silent_clients: float,
) -> None:
    """Play seeded faults against the real programs.

    Prints one JSON line a seed. The same seed is the same plan. Exits with
    1 if a promise was broken; the logs are kept where the line says.
    """
    if seeds > 1:
        sys.exit(_play_each(seed, seeds))
    kinds = tuple(
        kind for kind in _plan.KIND_SETS["all"] if kind.value in only
    )
    kinds = kinds or _plan.KIND_SETS[kind_set]
    plan = _plan.make_plan(
        seed,
        seconds,
        entries,
        agents,
        kinds,
        mean_gap_s,
        clients,
        work_s,
        late_requests,
        silent_clients,
    )
    report = _run.play(plan)
    click.echo(json.dumps(dataclasses.asdict(report)))
    sys.exit(int(bool(report.findings)))


def _play_each(seed: int, seeds: int) -> int:
    """Play each seed in a process of its own, one by one.

    The other options are those of this command; of two, the last holds.
    """
    worst = 0
    for number in range(seed, seed + seeds):
        command = [sys.executable, "-m", "ferryledge.soak", *sys.argv[1:]]
        command += ["--seed", str(number), "--seeds", "1"]
        worst = max(worst, subprocess.run(command, check=False).returncode)
    return worst


if __name__ == "__main__":
    main()
