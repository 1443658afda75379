"""``ferryledge config``: check, publish, show, history, status."""

from collections import abc
import dataclasses
import datetime
import json
import pathlib
import secrets
import time

import anyio
import click

from ferryledge.cli import _file
from ferryledge.cli import _options
from ferryledge.cli import _status
from ferryledge import configlog
from ferryledge import runtime

_PUBLISH_S = 30.0
_POLL_S = 0.3
_PATH = click.Path(dir_okay=False, path_type=pathlib.Path)


async def _read_all(
    client: runtime.PlatformClient,
) -> tuple[configlog.Follower, list[configlog.Verdict]]:
    """Fold the whole log as every entry does."""
    follower = configlog.Follower()
    verdicts: list[configlog.Verdict] = []
    while True:
        page = await client.read(follower.position, 0.0)
        verdicts += follower.accept(page, time.monotonic())
        if not follower.lag or not page.records:
            return follower, verdicts


async def _snapshot(platform_url: str) -> configlog.Snapshot:
    client = runtime.PlatformClient(platform_url)
    try:
        follower, _ = await _read_all(client)
        return follower.snapshot
    except runtime.PlatformError as exc:
        raise _options.CommandError(
            f"{exc}; is the platform up? entries go on serving"
        ) from exc
    finally:
        await client.close()


@dataclasses.dataclass(frozen=True, slots=True)
class Publication:
    """What became of a publication."""

    accepted: bool
    version: int
    message: str


async def publish_entities(
    platform_url: str,
    entities: tuple[configlog.Entity, ...],
    author: str,
    reason: str,
    keep: bool,
    base: int | None = None,
) -> Publication:
    """Append a change and find out what became of it.

    If the append's answer is lost the change is looked for by its id; it
    is never appended blindly again.
    """
    client = runtime.PlatformClient(platform_url)
    try:
        follower, _ = await _read_all(client)
        change = configlog.change_between(
            follower.snapshot,
            entities,
            secrets.token_hex(8),
            author,
            reason,
            time.time(),
            delete_missing=not keep,
        )
        if base is not None:
            change = dataclasses.replace(change, base=base)
        if not change.puts and not change.deletes:
            version = follower.snapshot.version
            return Publication(True, version, "nothing to change")
        try:
            await client.append(configlog.encode_record(change))
        except runtime.AppendLostError as exc:
            click.echo(f"answer lost ({exc}); looking for it", err=True)
        return await _await_verdict(client, follower, change)
    finally:
        await client.close()


async def _await_verdict(
    client: runtime.PlatformClient,
    follower: configlog.Follower,
    change: configlog.Change,
) -> Publication:
    with anyio.move_on_after(_PUBLISH_S):
        while True:
            try:
                page = await client.read(follower.position, _POLL_S)
            except runtime.PlatformError:
                await anyio.sleep(_POLL_S)
                continue
            for verdict in follower.accept(page, time.monotonic()):
                match verdict:
                    case configlog.Accepted(change.id, version):
                        return Publication(True, version, "in force")
                    case configlog.Rejected(change.id, reason):
                        version = follower.snapshot.version
                        return Publication(False, version, reason)
                    case _:
                        pass
            if not page.records and not follower.lag:
                found = await _missing(client, follower, change)
                if found is not None:
                    return found
    raise _options.CommandError(
        f"the log has not answered for {_PUBLISH_S:g} s; change "
        f"{change.id} may still come into force: look with "
        "'ferryledge config history' before you publish again"
    )


async def _missing(
    client: runtime.PlatformClient,
    follower: configlog.Follower,
    change: configlog.Change,
) -> Publication | None:
    """Conclude that the change is not in the log after a second look."""
    await anyio.sleep(_POLL_S)
    page = await client.read(follower.position, _POLL_S)
    if page.records:
        return None
    version = follower.snapshot.version
    return Publication(
        False,
        version,
        f"the append did not reach the log; publish again (id {change.id})",
    )


@click.group()
def config() -> None:
    """Check, publish and inspect the configuration."""


@config.command()
@click.argument("file", type=_PATH)
def check(file: pathlib.Path) -> None:
    """Check FILE and dry-run its policies; changes nothing."""
    entities = _file.load(file)
    click.echo(f"{file}: {len(entities)} entities, all good")


@config.command()
@_options.platform_option
@click.option("--author", required=True, help="Who publishes.")
@click.option("--reason", required=True, help="Why, for the audit trail.")
@click.option(
    "--keep", is_flag=True, help="Keep entities that FILE does not name."
)
@click.option(
    "--base",
    type=int,
    help="Version that you looked at; refused if another is in force.",
)
@click.argument("file", type=_PATH)
def publish(
    platform_url: str,
    author: str,
    reason: str,
    keep: bool,
    base: int | None,
    file: pathlib.Path,
) -> None:
    """Make FILE the configuration.

    The first of two racing operators wins; the other one is told.
    """
    entities = _file.load(file)
    _carry_out(
        publish_entities, platform_url, entities, author, reason, keep, base
    )


def _carry_out(
    change: abc.Callable[..., abc.Awaitable[Publication]],
    *arguments: object,
) -> None:
    """Publish a change and tell what became of it."""
    try:
        done = _options.run(change, *arguments)
    except runtime.PlatformError as exc:
        raise _options.CommandError(str(exc)) from exc
    if not done.accepted:
        raise _options.CommandError(f"not accepted: {done.message}")
    click.echo(f"version {done.version}: {done.message}")


async def _set_cordon(
    platform_url: str, zone: str, author: str, reason: str, cordoned: bool
) -> Publication:
    """Publish the configuration with or without one cordon."""
    snapshot = await _snapshot(platform_url)
    cordon = configlog.Cordon(zone)
    wanted = tuple(one for one in snapshot.entities if one != cordon)
    if cordoned:
        wanted = (*wanted, cordon)
    return await publish_entities(
        platform_url, wanted, author, reason, False, snapshot.version
    )


@config.command()
@_options.platform_option
@click.option("--author", required=True, help="Who publishes.")
@click.option("--reason", required=True, help="Why, for the audit trail.")
@click.argument("zone")
def cordon(platform_url: str, author: str, reason: str, zone: str) -> None:
    """Let availability zone ZONE take no new work.

    What runs there ends as usual.
    """
    _carry_out(_set_cordon, platform_url, zone, author, reason, True)


@config.command()
@_options.platform_option
@click.option("--author", required=True, help="Who publishes.")
@click.option("--reason", required=True, help="Why, for the audit trail.")
@click.argument("zone")
def uncordon(platform_url: str, author: str, reason: str, zone: str) -> None:
    """Let availability zone ZONE take work again."""
    _carry_out(_set_cordon, platform_url, zone, author, reason, False)


@config.command()
@_options.platform_option
@click.option("--out", type=_PATH, help="Write the snapshot to a file.")
def show(platform_url: str, out: pathlib.Path | None) -> None:
    """Print the configuration as the log has it, as JSON."""
    snapshot = _options.run(_snapshot, platform_url)
    text = configlog.encode_snapshot(snapshot).decode()
    if out is None:
        click.echo(text)
        return
    out.write_text(text)
    click.echo(f"version {snapshot.version} written to {out}")


@config.command()
@_options.platform_option
@click.option("--json", "as_json", is_flag=True, help="Print JSON lines.")
def history(platform_url: str, as_json: bool) -> None:
    """Print the audit trail: who changed what, when and why.

    It holds the last 256 accepted changes, also those that the log itself
    has forgotten.
    """
    snapshot = _options.run(_snapshot, platform_url)
    for entry in snapshot.history:
        if as_json:
            click.echo(json.dumps(dataclasses.asdict(entry)))
            continue
        when = datetime.datetime.fromtimestamp(entry.at, datetime.UTC)
        names = ", ".join(f"{e.kind} {e.name}" for e in entry.after)
        gone = {(e.kind, e.name) for e in entry.before}
        gone -= {(e.kind, e.name) for e in entry.after}
        if gone:
            names += " without " + ", ".join(f"{k} {n}" for k, n in gone)
        click.echo(
            f"{entry.version:>6}  {when:%Y-%m-%d %H:%M:%S}  "
            f"{entry.author}: {entry.reason} [{names}] "
            f"(offset {entry.offset}, id {entry.id})"
        )


@config.command("status")
@_options.entry_option
def config_status(entries: tuple[str, ...]) -> None:
    """Print each process's version and lag behind the newest."""
    reports = _options.run(_status.fetch_all, entries)
    rows = _status.versions(reports)
    newest = max((row.version for row in rows), default=0)
    for row in rows:
        lag = newest - row.version
        click.echo(
            f"{row.role:<6} {row.name:<20} {row.zone:<12} "
            f"version {row.version}  lag {lag}"
        )
    behind = [row.name for row in rows if row.version < newest]
    if behind:
        raise _options.CommandError(f"behind: {', '.join(behind)}")
