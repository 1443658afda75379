"""The command ``ferryledge-standin``, which serves a stand-in over HTTP."""

import pathlib
import sys
import typing

import anyio
import click

import ferryledge
from ferryledge import runtime
from ferryledge.standin import _endpoint
from ferryledge.standin import _journal
from ferryledge.standin import _platform


def _serve(handler: typing.Any, host: str, port: int) -> None:
    runtime.configure_logging("info", "standin")

    async def main(drain: anyio.Event) -> None:
        async with anyio.create_task_group() as group:
            bound = await group.start(
                runtime.serve_http,
                runtime.asgi_app(handler),
                host,
                port,
                drain,
            )
            print(f'{{"port": {bound}}}', flush=True)

    sys.exit(runtime.run_daemon(main, lambda: "requests"))


_HOST = click.option(
    "--host",
    default="127.0.0.1",
    show_default=True,
    help="IP address to listen on.",
)
_PORT = click.option(
    "--port",
    default=0,
    show_default=True,
    help="TCP port; 0 picks a free port.",
)


@click.group(context_settings={"auto_envvar_prefix": "FERRYLEDGE"})
@click.version_option(ferryledge.__version__)
def main() -> None:
    """Run stand-ins for the platform and for endpoints in tests.

    Each prints one JSON line with its port once it accepts connections.
    """


@main.command()
@_HOST
@_PORT
def platform(host: str, port: int) -> None:
    """Serve the platform's log and its list of VMs.

    PUT /v1/vms replaces the list. PUT /control sets faults, such as
    {"log_down": true}.
    """
    _serve(_platform.StandinPlatform().handle, host, port)


@main.command()
@click.option(
    "--name", default="endpoint", help="Name of the endpoint in the journal."
)
@click.option(
    "--journal",
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    help="File to which the journal of starts is appended.",
)
@_HOST
@_PORT
def endpoint(
    name: str, journal: pathlib.Path | None, host: str, port: int
) -> None:
    """Serve tasks that sleep, fail or hang on request.

    A task's payload may hold sleep_ms, fail, hang and echo. PUT /control
    sets fail_all, hang_all and slowdown for all tasks. GET /journal returns
    every start.
    """
    starts = _journal.StartJournal(journal)
    _serve(_endpoint.StandinEndpoint(name, starts).handle, host, port)
