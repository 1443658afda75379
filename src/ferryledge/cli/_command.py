"""Command ``ferryledge`` with all its subcommands."""

import click

import ferryledge
from ferryledge.cli import _config
from ferryledge.cli import _explain
from ferryledge.cli import _jobs
from ferryledge.cli import _logs
from ferryledge.cli import _profile
from ferryledge.cli import _status


@click.group()
@click.version_option(ferryledge.__version__)
def main() -> None:
    """Submit jobs to ferryledge, configure it and inspect it.

    Addresses come from --entry and --platform, or from the environment
    variables FERRYLEDGE_ENTRIES and FERRYLEDGE_PLATFORM_URL.

    \b
    First steps:
      ferryledge config check config.toml
      ferryledge config publish config.toml --author you --reason start
      ferryledge submit --workspace shop --service stock-check '{"sku": 7}'
    """


main.add_command(_jobs.submit)
main.add_command(_jobs.cancel)
main.add_command(_config.config)
main.add_command(_status.status)
main.add_command(_explain.explain)
main.add_command(_explain.watch)
_logs.logs.add_command(_profile.profile)
main.add_command(_logs.logs)
