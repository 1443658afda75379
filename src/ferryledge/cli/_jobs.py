"""``ferryledge submit`` and ``ferryledge cancel``."""

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
    async with client.Client(entries) as caller:
        return await caller.submit(job)


async def _cancel(
    entries: tuple[str, ...], workspace: str, request_id: str
) -> None:
    async with client.Client(entries) as caller:
        await caller.cancel(workspace, request_id)


@click.command()
@_options.entry_option
@click.option(
    *_options.WORKSPACE, required=True, help="The workspace that asks."
)
@click.option("--service", required=True, help="The service to run.")
@click.option("--request-id", default="", help="Your name for the job.")
@click.option(
    "--deadline-ms", default=0.0, help="When the answer is of no use."
)
@click.option("--urgency", default=1.0, help="Larger goes earlier.")
@click.option("--place", "places", multiple=True, help="Where it may run.")
@click.option(
    "--unrepeatable", is_flag=True, help="It must not run a second time."
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
    """Run one job and print its answer as JSON.

    Each PAYLOAD is the JSON text of one task. The exit code is 0 if the
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
@click.option(
    *_options.WORKSPACE, required=True, help="The workspace that asked."
)
@click.argument("request_id")
def cancel(entries: tuple[str, ...], workspace: str, request_id: str) -> None:
    """Cancel a job by its REQUEST_ID, at whichever entry it is.

    The submission itself gets the outcome, which says whether it ran.
    """
    _options.run(_cancel, entries, workspace, request_id)
    click.echo(f"cancellation of {request_id} sent")
