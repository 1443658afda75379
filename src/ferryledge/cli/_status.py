"""Command ``ferryledge status``: the state that processes report."""

import dataclasses
import json
import typing

import click
import httpcore

from ferryledge.cli import _options

_TIMEOUTS = {"connect": 3.0, "read": 5.0}


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessVersion:
    """Version of the configuration that a process has."""

    role: str
    name: str
    zone: str
    version: int


def _zone(row: typing.Any) -> str:
    """Return the zone of a process; older versions report it as hall."""
    return str(row["zone"] if "zone" in row else row["hall"])


async def fetch(url: str, path: str) -> typing.Any:
    """Fetch a JSON document from a process.

    :param url: base URL of the process
    :param path: path of the document
    :return: the decoded document
    :raises CommandError: if the process does not respond
    """
    try:
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request(
                "GET",
                url.rstrip("/") + path,
                extensions={"timeout": _TIMEOUTS},
            )
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
        httpcore.UnsupportedProtocol,
    ) as exc:
        raise _options.CommandError(f"{url}: {exc}") from exc
    return json.loads(response.content)


async def fetch_all(entries: tuple[str, ...]) -> list[typing.Any]:
    """Fetch the status of each entry.

    :param entries: base URLs of the entries
    """
    return [await fetch(url, "/v1/status") for url in entries]


def versions(reports: list[typing.Any]) -> list[ProcessVersion]:
    """Return the newest known version of each process.

    Several reports may hold the same process, since entries also report
    their peers.

    :param reports: status of each entry
    :return: versions sorted by role and name
    """
    newest: dict[str, ProcessVersion] = {}
    rows = [
        *reports,
        *(peer for report in reports for peer in report["peers"]),
    ]
    for row in rows:
        known = newest.get(row["name"])
        if known is None or known.version < row["config_version"]:
            newest[row["name"]] = ProcessVersion(
                row["role"], row["name"], _zone(row), row["config_version"]
            )
    return sorted(
        newest.values(), key=lambda process: (process.role, process.name)
    )


@click.command()
@_options.entry_option
@click.option("--json", "as_json", is_flag=True, help="Print JSON lines.")
def status(entries: tuple[str, ...], as_json: bool) -> None:
    """Print the status of each entry: jobs, queues, endpoints and peers."""
    for report in _options.run(fetch_all, entries):
        if as_json:
            click.echo(json.dumps(report))
        else:
            _print(report)


def _print(report: typing.Any) -> None:
    click.echo(
        f"{report['name']} in {_zone(report)}: "
        f"{'ready' if report['ready'] else 'not ready'}, "
        f"configuration {report['config_version']}, "
        f"{report['jobs_open']} jobs open, "
        f"{report['jobs_placed']} placed here, "
        f"{report['tasks_waiting']} tasks waiting"
    )
    for row in report["endpoints"]:
        markers = [
            marker
            for marker in ("leaving", "doubted", "ejected")
            if row[marker]
        ]
        click.echo(
            f"  {row['name']:<20} {_zone(row):<12} "
            f"{row['bound']:>3} of {row['slots']} slots  "
            f"slowness {row['slowness']:.2f}  {' '.join(markers)}"
        )
