"""Defines the ``entry`` and ``agent`` commands that the platform runs."""

import gc
import os
import sys

import click
import loguru

from ferryledge.hosted import _listening
from ferryledge import logs
from ferryledge import net
from ferryledge import platform

#: Variable with the shared keys for streams, separated by commas.
KEYS_VARIABLE = "FERRYLEDGE_PEER_KEYS"
#: Variable that is "on" (the default) or "off": whether entries hand jobs
#: over to each other.
HANDOVER_VARIABLE = "FERRYLEDGE_HAND_ON"
#: Exit code for an invalid setting.
EXIT_USAGE = 2


def _settings() -> platform.Settings:
    try:
        settings = platform.read_settings()
    except platform.SettingsError as exc:
        click.echo(f"error: {exc}", err=True)
        sys.exit(EXIT_USAGE)
    logs.configure_logging("info", settings.node, logs.standard_output())
    loguru.logger.info("started", step="start", zone=settings.zone)
    return settings


def _keys() -> tuple[str, ...]:
    keys = os.environ.get(KEYS_VARIABLE, "")
    if not keys:
        click.echo(f"error: set {KEYS_VARIABLE}", err=True)
        sys.exit(EXIT_USAGE)
    return tuple(key for key in keys.split(",") if key)


def _handover_enabled() -> bool:
    text = os.environ.get(HANDOVER_VARIABLE, "on")
    if text not in ("on", "off"):
        click.echo(f"error: set {HANDOVER_VARIABLE} to on or off", err=True)
        sys.exit(EXIT_USAGE)
    return text == "on"


def _enable_gc() -> None:
    """Enable garbage collection, which was disabled for the start.

    Imported objects are frozen, so that collections don't traverse them.
    """
    gc.freeze()
    gc.enable()


@click.group()
def main() -> None:
    """Run a daemon on the users' platform.

    Settings are read from the file that FERRYLEDGE_CONFIG names, the keys for
    streams from FERRYLEDGE_PEER_KEYS. Entries hand waiting jobs over to each
    other unless FERRYLEDGE_HAND_ON is off.
    """


@main.command()
@click.pass_obj
def entry(listeners: _listening.Listeners) -> None:
    """Accept clients' jobs and order their runs."""
    from ferryledge.hosted import _entry

    daemon = _entry.HostedEntry(
        _settings(), _keys(), _handover_enabled(), listeners=listeners
    )
    _enable_gc()
    sys.exit(net.run_daemon(daemon.run, daemon.unfinished, daemon.reload))


@main.command()
@click.pass_obj
def agent(listeners: _listening.Listeners) -> None:
    """Manage the endpoint on this machine."""
    from ferryledge.hosted import _agent

    daemon = _agent.HostedAgent(_settings(), _keys(), listeners=listeners)
    _enable_gc()
    sys.exit(net.run_daemon(daemon.run, daemon.unfinished, daemon.reload))
