"""Tests that retries of the client reach every entry."""

import json

import anyio

from ferryledge import client
from ferryledge import net

#: Address without a listener.
_UNAVAILABLE_URL = "http://127.0.0.1:9"
_JOB_COUNT = 40


async def _complete(request: net.Request) -> net.HttpResponse:
    await request.body()
    # Lets replies arrive in another order than the requests.
    await anyio.lowlevel.checkpoint()
    text = json.dumps({"outcome": "complete", "ran": "yes", "tasks": []})
    return net.HttpResponse(200, text.encode())


def test_retry_uses_another_entry_after_a_failure() -> None:
    """Attempts of concurrent jobs must not return to an unavailable entry."""
    replies: list[client.Reply] = []

    async def main() -> None:
        async with anyio.create_task_group() as group:
            app = net.asgi_app(_complete)
            port = await group.start(
                net.serve_http, app, "127.0.0.1", 0, anyio.Event()
            )
            urls = [_UNAVAILABLE_URL, f"http://127.0.0.1:{port}"]
            options = client.ClientOptions(
                max_attempts=len(urls), retry_burst=1000.0
            )
            async with client.Client(urls, options) as job_client:
                job = client.Job("shop", "lookup", (client.Task({}),))

                async def submit() -> None:
                    replies.append(await job_client.submit(job))

                async with anyio.create_task_group() as jobs:
                    for _ in range(_JOB_COUNT):
                        jobs.start_soon(submit)
            group.cancel_scope.cancel()

    anyio.run(main)
    assert [reply.outcome for reply in replies] == ["complete"] * _JOB_COUNT
