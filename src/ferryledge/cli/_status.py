"""``ferryledge status``: what the processes tell of themselves."""

import dataclasses
import json
import typing

import click
import httpcore

from ferryledge.cli import _options

_TIMEOUTS = {"connect": 3.0, "read": 5.0}


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessVersion:
    """One process's version of the configuration."""

    role: str
    name: str
    zone: str
    version: int


def _zone(row: typing.Any) -> str:
    """Return where a process runs; an earlier version calls it hall."""
    return str(row["zone"] if "zone" in row else row["hall"])


async def fetch(url: str, path: str) -> typing.Any:
    """Return the JSON text at an address.

    :raises CommandError: if there is no answer
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
    """Return the status of each entry."""
    return [await fetch(url, "/v1/status") for url in entries]


def versions(reports: list[typing.Any]) -> list[ProcessVersion]:
    """Return each process's newest known version."""
    found: dict[str, ProcessVersion] = {}
    rows = [*reports, *(peer for one in reports for peer in one["peers"])]
    for row in rows:
        known = found.get(row["name"])
        if known is None or known.version < row["config_version"]:
            found[row["name"]] = ProcessVersion(
                row["role"], row["name"], _zone(row), row["config_version"]
            )
    return sorted(found.values(), key=lambda one: (one.role, one.name))


@click.command()
@_options.entry_option
@click.option("--json", "as_json", is_flag=True, help="Print JSON lines.")
def status(entries: tuple[str, ...], as_json: bool) -> None:
    """Print what the entries see: jobs, queues, endpoints, peers."""
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
        marks = [
            mark for mark in ("leaving", "doubted", "ejected") if row[mark]
        ]
        click.echo(
            f"  {row['name']:<20} {_zone(row):<12} "
            f"{row['bound']:>3} of {row['slots']} slots  "
            f"slowness {row['slowness']:.2f}  {' '.join(marks)}"
        )
