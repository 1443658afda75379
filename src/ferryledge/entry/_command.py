"""The command ``ferryledge-entry``."""

import sys

import anyio
import click

import ferryledge
from ferryledge.entry import _daemon
from ferryledge.entry import _settings
from ferryledge import runtime


@click.command(
    epilog="Example: ferryledge-entry --name entry-1 --zone north "
    "--peer-port 7101 --http-port 7001 "
    "--platform-url http://127.0.0.1:7000 "
    "--peer-keys a-long-shared-secret"
)
@runtime.settings_options(_settings.EntrySettings)
@click.version_option(ferryledge.__version__)
def main(**values: str | None) -> None:
    """Run an entry, which accepts jobs over HTTP and schedules their tasks.

    Clients reach any entry through the load balancer, which checks
    /health/ready. The entry reads its configuration from the platform's
    log and finds the other processes in its list of VMs. On SIGTERM it
    refuses new jobs and answers the open ones; a second SIGTERM stops it
    at once.

    Every setting is a flag or a FERRYLEDGE_* variable.
    """
    settings = runtime.load_settings(_settings.EntrySettings, values)
    runtime.configure_logging(settings.log_level, settings.name)
    entry = _daemon.Entry(settings, runtime.Metrics("entry"))

    async def serve(drain: anyio.Event) -> None:
        await entry.run(drain)

    sys.exit(runtime.run_daemon(serve, entry.unfinished))
