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
def main(
    seed: int, seeds: int, seconds: float, entries: int, agents: int
) -> None:
    """Play seeded faults against the real programs.

    Prints one JSON line a seed. The same seed is the same plan. Exits with
    1 if a promise was broken; the logs are kept where the line says.
    """
    if seeds > 1:
        sys.exit(_play_each(seed, seeds, seconds, entries, agents))
    plan = _plan.make_plan(seed, seconds, entries, agents)
    report = _run.play(plan)
    click.echo(json.dumps(dataclasses.asdict(report)))
    sys.exit(int(bool(report.findings)))


def _play_each(
    seed: int, seeds: int, seconds: float, entries: int, agents: int
) -> int:
    """Play each seed in a process of its own, one by one."""
    worst = 0
    for number in range(seed, seed + seeds):
        command = [sys.executable, "-m", "ferryledge.soak"]
        options = {
            "--seed": number,
            "--seconds": seconds,
            "--entries": entries,
            "--agents": agents,
        }
        for name, value in options.items():
            command += [name, str(value)]
        worst = max(worst, subprocess.run(command, check=False).returncode)
    return worst


if __name__ == "__main__":
    main()
