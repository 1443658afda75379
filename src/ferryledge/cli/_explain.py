"""Commands ``ferryledge explain`` and ``ferryledge watch``."""

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
    trace = _logs.trace_of(_logs.read_lines(files), request_id)
    if not trace:
        raise _options.CommandError(
            f"no line about {request_id}; give the logs of all entries and "
            "agents of the period"
        )
    for line in trace:
        click.echo(line.render())


async def _fetch_notes(
    entries: tuple[str, ...], workspace: str, request_id: str
) -> list[typing.Any]:
    """Return all entries' notes on a job, each with the URL of its entry."""
    entry_notes: list[typing.Any] = []
    path = f"/v1/explain/{workspace}/{request_id}"
    for url in entries:
        entry_notes += [
            (url, entry_note) for entry_note in await _status.fetch(url, path)
        ]
    submissions = {
        note["text"].split()[1]
        for _, note in entry_notes
        if note["text"].startswith("submission ")
    }
    for url in entries:
        for submission in sorted(submissions):
            path = f"/v1/trace/{submission}"
            notes = await _status.fetch(url, path)
            entry_notes += [
                (url, entry_note)
                for entry_note in notes
                if (url, entry_note) not in entry_notes
            ]
    return entry_notes


@click.command()
@_options.optional_entry_option
@click.option(
    *_options.WORKSPACE, default="", help="Workspace of the request."
)
@click.option(
    "--logs",
    "files",
    multiple=True,
    type=_logs.File,
    help="Read this log instead of querying entries; may be given repeatedly.",
)
@click.argument("request_id")
def explain(
    entries: tuple[str, ...],
    workspace: str,
    files: tuple[typing.TextIO, ...],
    request_id: str,
) -> None:
    """Show the decisions about a request.

    With --logs the decisions are read from log files, for example:
    ferryledge explain --logs front.log --logs side.log ID.
    Otherwise they are fetched from the entries, which keep those of the last
    few hundred jobs. Give all entries then, since the entry that received
    the request and the entry that placed it hold different decisions. Times
    are in seconds of each entry's own clock.
    """
    if files:
        _explain_from_logs(files, request_id)
        return
    if not workspace or not entries:
        raise _options.InputError(
            "either --logs, or --entry and --workspace is required"
        )
    notes = _options.run(_fetch_notes, entries, workspace, request_id)
    if not notes:
        raise _options.CommandError(
            f"no entry has notes on {workspace}/{request_id}; entries keep "
            "only the last few hundred jobs"
        )
    for url, note in notes:
        click.echo(
            f"{url}  {note['at']:.4f}  {note['mechanism']:<10} "
            f"version {note['version']}  {note['job']}: {note['text']}"
        )


async def _watch(url: str, mechanism: str, limit: int) -> None:
    shown = 0
    async with (
        httpcore.AsyncConnectionPool() as pool,
        pool.stream("GET", url.rstrip("/") + "/v1/watch") as response,
    ):
        incomplete = b""
        async for chunk in response.aiter_stream():
            *lines, incomplete = (incomplete + chunk).split(b"\n")
            for line in lines:
                note = json.loads(line)
                if mechanism and note["mechanism"] != mechanism:
                    continue
                click.echo(
                    f"{note['at']:.4f}  {note['mechanism']:<10} "
                    f"{note['job']}: {note['text']}"
                )
                shown += 1
                if limit and shown >= limit:
                    return


@click.command()
@_options.entry_option
@click.option("--mechanism", default="", help="Show only this mechanism.")
@click.option(
    "--limit", default=0, help="Exit after this number; 0 for no limit."
)
def watch(entries: tuple[str, ...], mechanism: str, limit: int) -> None:
    """Show the decisions of an entry as they are made.

    Mechanisms: front, routing, admission, policy, ticket, placement,
    release, recovery, answer.
    """
    try:
        _options.run(_watch, entries[0], mechanism, limit)
    except (httpcore.NetworkError, httpcore.ProtocolError) as exc:
        raise _options.CommandError(f"{entries[0]}: {exc}") from exc
