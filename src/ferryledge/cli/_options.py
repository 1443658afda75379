"""Options and errors that the commands share."""

from collections import abc
import typing

import anyio
import click

#: Exit code when a request was refused or failed.
EXIT_FAILED = 1
#: The option that names a workspace; the second one is its earlier name.
WORKSPACE = ("--workspace", "--team", "workspace")

ResultT = typing.TypeVar("ResultT")


class CommandError(click.ClickException):
    """Something went wrong that the operator can act on."""

    exit_code = EXIT_FAILED


class InputError(CommandError):
    """What the operator gave is wrong."""

    exit_code = 2


def _entry_option(required: bool) -> abc.Callable[..., typing.Any]:
    return click.option(
        "--entry",
        "entries",
        multiple=True,
        envvar="FERRYLEDGE_ENTRIES",
        show_envvar=True,
        required=required,
        metavar="URL",
        help="Address of an entry or the balancer; may be given repeatedly.",
    )


entry_option = _entry_option(required=True)
optional_entry_option = _entry_option(required=False)
platform_option = click.option(
    "--platform",
    "platform_url",
    envvar="FERRYLEDGE_PLATFORM_URL",
    show_envvar=True,
    required=True,
    metavar="URL",
    help="Address of the platform's service.",
)


def run(
    function: abc.Callable[..., abc.Awaitable[ResultT]], *args: object
) -> ResultT:
    """Run an asynchronous function to its end."""
    return anyio.run(function, *args)
