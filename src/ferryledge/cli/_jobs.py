"""Commands ``ferryledge submit`` and ``ferryledge cancel``."""

import dataclasses
import json
import sys

import click

from ferryledge.cli import _options
from ferryledge import client


def _parse(payload: str) -> client.Task:
    try:
        return client.Task(json.loads(payload))
    except ValueError as exc:
        raise _options.InputError(
            f"payload {payload!r} is not JSON: {exc}"
        ) from exc


async def _submit(entries: tuple[str, ...], job: client.Job) -> client.Reply:
    async with client.Client(entries) as job_client:
        return await job_client.submit(job)


async def _cancel(
    entries: tuple[str, ...], workspace: str, request_id: str
) -> None:
    async with client.Client(entries) as job_client:
        await job_client.cancel(workspace, request_id)


@click.command()
@_options.entry_option
@click.option(*_options.WORKSPACE, required=True, help="Workspace of the job.")
@click.option("--service", required=True, help="Service that runs the job.")
@click.option(
    "--request-id", default="", help="ID of the job, unique in the workspace."
)
@click.option(
    "--deadline-ms",
    default=0.0,
    help="Milliseconds after which the answer is useless; 0 for none.",
)
@click.option(
    "--urgency", default=1.0, help="Jobs of a larger urgency run earlier."
)
@click.option(
    "--place",
    "places",
    multiple=True,
    help="Place where the job may run; may be given repeatedly.",
)
@click.option(
    "--unrepeatable", is_flag=True, help="The job must not run more than once."
)
@click.argument("payloads", nargs=-1, required=True)
def submit(
    entries: tuple[str, ...],
    workspace: str,
    service: str,
    request_id: str,
    deadline_ms: float,
    urgency: float,
    places: tuple[str, ...],
    unrepeatable: bool,
    payloads: tuple[str, ...],
) -> None:
    """Run one job and print its reply as JSON.

    Each PAYLOAD is the JSON payload of one task. The exit code is 0 if the
    job is complete and 1 otherwise.

    \b
    Example:
      ferryledge submit --workspace shop --service stock-check \\
          '{"sku": 7}' '{"sku": 9}'
    """
    job = client.Job(
        workspace,
        service,
        tuple(_parse(payload) for payload in payloads),
        request_id,
        deadline_ms,
        urgency,
        places,
        not unrepeatable,
    )
    reply = _options.run(_submit, entries, job)
    click.echo(json.dumps(dataclasses.asdict(reply), indent=2))
    sys.exit(0 if reply.complete else _options.EXIT_FAILED)


@click.command()
@_options.entry_option
@click.option(*_options.WORKSPACE, required=True, help="Workspace of the job.")
@click.argument("request_id")
def cancel(entries: tuple[str, ...], workspace: str, request_id: str) -> None:
    """Cancel the job REQUEST_ID, whichever entry holds it.

    The pending submission returns the outcome, which says whether the job
    ran.
    """
    _options.run(_cancel, entries, workspace, request_id)
    click.echo(f"cancellation of {request_id} sent")
