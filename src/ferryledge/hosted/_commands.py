"""The commands that the platform runs: ``entry`` and ``agent``."""

import gc
import os
import sys

import click
import loguru

from ferryledge.hosted import _listening
from ferryledge import logs
from ferryledge import net
from ferryledge import platform

#: Variable with the keys for streams, separated by commas.
KEYS_VARIABLE = "FERRYLEDGE_PEER_KEYS"
#: Variable that is "off" where entries keep their clients' jobs.
HAND_ON_VARIABLE = "FERRYLEDGE_HAND_ON"
#: Exit code for a wrong setting.
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


def _hands_on() -> bool:
    text = os.environ.get(HAND_ON_VARIABLE, "on")
    if text not in ("on", "off"):
        click.echo(f"error: set {HAND_ON_VARIABLE} to on or off", err=True)
        sys.exit(EXIT_USAGE)
    return text == "on"


def _end_start() -> None:
    """Let collections begin, which the start put off.

    What was imported stays: they need not look at it each time.
    """
    gc.freeze()
    gc.enable()


@click.group()
def main() -> None:
    """Run a daemon on the users' platform.

    Settings come from the file that FERRYLEDGE_CONFIG names, the keys for
    streams from FERRYLEDGE_PEER_KEYS. Entries hand waiting jobs on to each
    other unless FERRYLEDGE_HAND_ON is off.
    """


@main.command()
@click.pass_obj
def entry(listeners: _listening.Listeners) -> None:
    """Take clients' jobs and order their runs."""
    from ferryledge.hosted import _entry

    daemon = _entry.HostedEntry(
        _settings(), _keys(), _hands_on(), listeners=listeners
    )
    _end_start()
    sys.exit(net.run_daemon(daemon.run, daemon.unfinished, daemon.reload))


@main.command()
@click.pass_obj
def agent(listeners: _listening.Listeners) -> None:
    """Own the endpoint on this machine."""
    from ferryledge.hosted import _agent

    daemon = _agent.HostedAgent(_settings(), _keys(), listeners=listeners)
    _end_start()
    sys.exit(net.run_daemon(daemon.run, daemon.unfinished, daemon.reload))
