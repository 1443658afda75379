"""Options and errors shared by the commands."""

from collections import abc
import typing

import anyio
import click

#: Exit code of a command that failed or whose job was not completed.
EXIT_FAILED = 1
#: Names of the workspace option; ``--team`` is its earlier name.
WORKSPACE = ("--workspace", "--team", "workspace")

ResultT = typing.TypeVar("ResultT")


class CommandError(click.ClickException):
    """A command failed for a reason that the operator can act on."""

    exit_code = EXIT_FAILED


class InputError(CommandError):
    """An argument or a file of the operator is invalid."""

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
        help="Address of an entry or load balancer; may be given repeatedly.",
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
    """Run an asynchronous function and return its result.

    :param function: the function to run
    :param args: its arguments
    """
    return anyio.run(function, *args)
