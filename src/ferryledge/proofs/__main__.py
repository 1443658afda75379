"""``python -m ferryledge.proofs``: runs the proofs, writes the tables."""

import pathlib
import sys
import time

import click

from ferryledge import proofs
from ferryledge.proofs import _table

_DOCS = pathlib.Path("docs")


@click.group()
def main() -> None:
    """Prove the promises and write the tables into docs."""


@main.command()
@click.option("--pairs", default=2000, show_default=True, help="Pairs.")
@click.option("--seed", default=11, show_default=True, help="Of the pairs.")
@click.option("--write/--no-write", default=True, help="Write the table.")
def matrix(pairs: int, seed: int, write: bool) -> None:
    """Run every fault at every step, and pairs of faults."""
    started = time.monotonic()
    singles = proofs.run_cells(proofs.all_cells())
    doubles = proofs.run_cells(proofs.pair_cells(pairs, seed))
    text = _table.matrix_page(singles, doubles, seed)
    if write:
        (_DOCS / "proofs-matrix.md").write_text(text)
    failed = [
        one
        for one in (*singles, *doubles)
        if one.verdict is proofs.Verdict.FAILED
    ]
    for one in failed:
        click.echo(f"failed: {one.cell}: {one.detail}")
    seconds = time.monotonic() - started
    count = len(singles) + len(doubles)
    click.echo(f"{count} cells, {len(failed)} failed, {seconds:.0f} s")
    sys.exit(1 if failed else 0)


@main.command()
@click.option("--write/--no-write", default=True, help="Write the table.")
def mutations(write: bool) -> None:
    """Take each mechanism out and show the proof that fails then."""
    results = [proofs.run_mutation(one) for one in proofs.MUTATIONS]
    if write:
        page = _table.mutations_page(results)
        (_DOCS / "proofs-mutations.md").write_text(page)
    missed = [one for one in results if one.failed is None]
    for result in missed:
        click.echo(f"not noticed: {result.mutation.name}")
    click.echo(f"{len(results)} mutations, {len(missed)} not noticed")
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()
