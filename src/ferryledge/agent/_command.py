"""The command ``ferryledge-agent``."""

import sys

import anyio
import click

import ferryledge
from ferryledge.agent import _daemon
from ferryledge.agent import _settings
from ferryledge import runtime


@click.command(
    epilog="Example: ferryledge-agent --name agent-1 --zone north "
    "--peer-port 7201 --endpoint-url http://127.0.0.1:8080 "
    "--peer-keys a-long-shared-secret"
)
@runtime.settings_options(_settings.AgentSettings)
@click.version_option(ferryledge.__version__)
def main(**values: str | None) -> None:
    """Run the agent of one endpoint.

    The agent owns the endpoint's slots: it is the only process that starts
    tasks there. Entries connect to it; it connects only to the endpoint.
    On SIGTERM it takes no new tasks and lets the running ones end; a second
    SIGTERM stops it at once.

    Every setting is a flag or a FERRYLEDGE_* variable.
    """
    settings = runtime.load_settings(_settings.AgentSettings, values)
    runtime.configure_logging(settings.log_level, settings.name)
    agent = _daemon.Agent(settings, runtime.Metrics("agent"))

    async def serve(drain: anyio.Event) -> None:
        await agent.run(drain)

    sys.exit(runtime.run_daemon(serve, agent.unfinished))
