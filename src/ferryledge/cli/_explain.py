"""``ferryledge explain`` and ``ferryledge watch``."""

import json
import typing

import click
import httpcore

from ferryledge.cli import _logs
from ferryledge.cli import _options
from ferryledge.cli import _status


def _explain_from_logs(
    files: tuple[typing.TextIO, ...], request_id: str
) -> None:
    story = _logs.story_of(_logs.read_lines(files), request_id)
    if not story:
        raise _options.CommandError(
            f"no line about {request_id}; give the logs of all entries and "
            "agents of that time"
        )
    for line in story:
        click.echo(line.render())


async def _fetch_notes(
    entries: tuple[str, ...], workspace: str, request_id: str
) -> list[typing.Any]:
    """Return the notes of all entries on a job, each with its entry."""
    found: list[typing.Any] = []
    path = f"/v1/explain/{workspace}/{request_id}"
    for url in entries:
        found += [(url, one) for one in await _status.fetch(url, path)]
    submissions = {
        note["text"].split()[1]
        for _, note in found
        if note["text"].startswith("submission ")
    }
    for url in entries:
        for submission in sorted(submissions):
            path = f"/v1/trace/{submission}"
            notes = await _status.fetch(url, path)
            found += [(url, one) for one in notes if (url, one) not in found]
    return found


@click.command()
@_options.optional_entry_option
@click.option(
    *_options.WORKSPACE, default="", help="The workspace that asked."
)
@click.option(
    "--logs",
    "files",
    multiple=True,
    type=_logs.File,
    help="Read this log instead of asking entries; give it once a file.",
)
@click.argument("request_id")
def explain(
    entries: tuple[str, ...],
    workspace: str,
    files: tuple[typing.TextIO, ...],
    request_id: str,
) -> None:
    """Show why a request went where it went.

    From logs: ferryledge explain --logs front.log --logs side.log ID.
    Otherwise from the entries' memory of the last few hundred jobs. Give
    all entries then: the one that took it and the one that placed it hold
    different parts. Times are seconds of each entry's own clock.
    """
    if files:
        _explain_from_logs(files, request_id)
        return
    if not workspace or not entries:
        raise _options.InputError("give --logs, or --entry and --workspace")
    notes = _options.run(_fetch_notes, entries, workspace, request_id)
    if not notes:
        raise _options.CommandError(
            f"no entry remembers {workspace}/{request_id}; only the last few "
            "hundred jobs are kept"
        )
    for url, note in notes:
        click.echo(
            f"{url}  {note['at']:.4f}  {note['mechanism']:<10} "
            f"version {note['version']}  {note['job']}: {note['text']}"
        )


async def _watch(url: str, mechanism: str, limit: int) -> None:
    seen = 0
    async with (
        httpcore.AsyncConnectionPool() as pool,
        pool.stream("GET", url.rstrip("/") + "/v1/watch") as response,
    ):
        rest = b""
        async for chunk in response.aiter_stream():
            *lines, rest = (rest + chunk).split(b"\n")
            for line in lines:
                note = json.loads(line)
                if mechanism and note["mechanism"] != mechanism:
                    continue
                click.echo(
                    f"{note['at']:.4f}  {note['mechanism']:<10} "
                    f"{note['job']}: {note['text']}"
                )
                seen += 1
                if limit and seen >= limit:
                    return


@click.command()
@_options.entry_option
@click.option("--mechanism", default="", help="Only this mechanism.")
@click.option("--limit", default=0, help="End after so many; 0 is never.")
def watch(entries: tuple[str, ...], mechanism: str, limit: int) -> None:
    """Show an entry's decisions as it takes them.

    Mechanisms: front, routing, admission, policy, ticket, placement,
    release, recovery, answer.
    """
    try:
        _options.run(_watch, entries[0], mechanism, limit)
    except (httpcore.NetworkError, httpcore.ProtocolError) as exc:
        raise _options.CommandError(f"{entries[0]}: {exc}") from exc
