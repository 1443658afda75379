"""Command group ``ferryledge config``."""

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

#: Seconds to wait until a published change is in force.
_PUBLISH_S = 30.0
#: Seconds that a read of the log waits for records, and between retries.
_POLL_S = 0.3
_PATH = click.Path(dir_okay=False, path_type=pathlib.Path)


async def _read_all(
    client: runtime.PlatformClient,
) -> tuple[configlog.Follower, list[configlog.Verdict]]:
    """Apply all records of the log, as the entries do."""
    follower = configlog.Follower()
    verdicts: list[configlog.Verdict] = []
    while True:
        page = await client.read(follower.position, 0.0)
        verdicts += follower.apply_page(page, time.monotonic())
        if not follower.lag or not page.records:
            return follower, verdicts


async def _snapshot(platform_url: str) -> configlog.Snapshot:
    client = runtime.PlatformClient(platform_url)
    try:
        follower, _ = await _read_all(client)
        return follower.snapshot
    except runtime.PlatformError as exc:
        raise _options.CommandError(
            f"{exc}; check that the platform is up (entries continue to serve)"
        ) from exc
    finally:
        await client.close()


@dataclasses.dataclass(frozen=True, slots=True)
class Publication:
    """Outcome of a publication."""

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
    """Publish entities as one change and wait for its outcome.

    If the response to the append is lost, the change is looked up in the log
    by its ID rather than appended again, since the append may have succeeded.

    :param platform_url: base URL of the platform
    :param entities: the entities to publish
    :param author: who publishes
    :param reason: why, for the audit trail
    :param keep: whether to keep entities that aren't in ``entities``
    :param base: version that the change is based on; defaults to the newest
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
            for verdict in follower.apply_page(page, time.monotonic()):
                match verdict:
                    case configlog.Accepted(change.id, version):
                        return Publication(True, version, "in force")
                    case configlog.Rejected(change.id, reason):
                        version = follower.snapshot.version
                        return Publication(False, version, reason)
                    case _:
                        pass
            if not page.records and not follower.lag:
                publication = await _confirm_missing(client, follower, change)
                if publication is not None:
                    return publication
    raise _options.CommandError(
        f"no outcome after {_PUBLISH_S:g} s; change {change.id} may still "
        "come into force: check 'ferryledge config history' before you "
        "publish again"
    )


async def _confirm_missing(
    client: runtime.PlatformClient,
    follower: configlog.Follower,
    change: configlog.Change,
) -> Publication | None:
    """Read the log again and report the change as missing.

    :return: none if the log has further records
    """
    await anyio.sleep(_POLL_S)
    page = await client.read(follower.position, _POLL_S)
    if page.records:
        return None
    version = follower.snapshot.version
    return Publication(
        False,
        version,
        f"the change is not in the log; publish it again (id {change.id})",
    )


@click.group()
def config() -> None:
    """Check, publish and inspect the configuration."""


@config.command()
@click.argument("file", type=_PATH)
def check(file: pathlib.Path) -> None:
    """Check FILE and dry-run its policies without publishing it."""
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
    help="Expected version; the change is refused if another is in force.",
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
    """Publish FILE as the configuration.

    If two operators publish at the same time, the first change is accepted
    and the second one is refused.
    """
    entities = _file.load(file)
    _publish_and_report(
        publish_entities, platform_url, entities, author, reason, keep, base
    )


def _publish_and_report(
    change: abc.Callable[..., abc.Awaitable[Publication]],
    *arguments: object,
) -> None:
    """Run a function that publishes and print the outcome."""
    try:
        publication = _options.run(change, *arguments)
    except runtime.PlatformError as exc:
        raise _options.CommandError(str(exc)) from exc
    if not publication.accepted:
        raise _options.CommandError(f"not accepted: {publication.message}")
    click.echo(f"version {publication.version}: {publication.message}")


async def _set_cordon(
    platform_url: str, zone: str, author: str, reason: str, cordoned: bool
) -> Publication:
    """Publish the configuration with or without the cordon of a zone."""
    snapshot = await _snapshot(platform_url)
    cordon = configlog.Cordon(zone)
    desired = tuple(entity for entity in snapshot.entities if entity != cordon)
    if cordoned:
        desired = (*desired, cordon)
    return await publish_entities(
        platform_url, desired, author, reason, False, snapshot.version
    )


@config.command()
@_options.platform_option
@click.option("--author", required=True, help="Who publishes.")
@click.option("--reason", required=True, help="Why, for the audit trail.")
@click.argument("zone")
def cordon(platform_url: str, author: str, reason: str, zone: str) -> None:
    """Cordon availability zone ZONE, so that it gets no new tasks.

    Running tasks are not affected.
    """
    _publish_and_report(_set_cordon, platform_url, zone, author, reason, True)


@config.command()
@_options.platform_option
@click.option("--author", required=True, help="Who publishes.")
@click.option("--reason", required=True, help="Why, for the audit trail.")
@click.argument("zone")
def uncordon(platform_url: str, author: str, reason: str, zone: str) -> None:
    """Remove the cordon of availability zone ZONE."""
    _publish_and_report(_set_cordon, platform_url, zone, author, reason, False)


@config.command()
@_options.platform_option
@click.option("--out", type=_PATH, help="Write the snapshot to a file.")
def show(platform_url: str, out: pathlib.Path | None) -> None:
    """Print the configuration of the log as JSON."""
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

    It holds the last 256 accepted changes, including those that the log no
    longer holds.
    """
    snapshot = _options.run(_snapshot, platform_url)
    for entry in snapshot.history:
        if as_json:
            click.echo(json.dumps(dataclasses.asdict(entry)))
            continue
        when = datetime.datetime.fromtimestamp(entry.at, datetime.UTC)
        names = ", ".join(f"{e.kind} {e.name}" for e in entry.after)
        deleted = {(e.kind, e.name) for e in entry.before}
        deleted -= {(e.kind, e.name) for e in entry.after}
        if deleted:
            names += " without " + ", ".join(f"{k} {n}" for k, n in deleted)
        click.echo(
            f"{entry.version:>6}  {when:%Y-%m-%d %H:%M:%S}  "
            f"{entry.author}: {entry.reason} [{names}] "
            f"(offset {entry.offset}, id {entry.id})"
        )


@config.command("status")
@_options.entry_option
def config_status(entries: tuple[str, ...]) -> None:
    """Print each process's version and its lag behind the newest version."""
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
