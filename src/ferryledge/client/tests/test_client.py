"""The client's retries reach every entry."""

import json

import anyio

from ferryledge import client
from ferryledge import net

#: Nobody listens there.
_DEAD = "http://127.0.0.1:9"
_JOBS = 40


async def _complete(request: net.Request) -> net.HttpResponse:
    await request.body()
    # Answers come back in an order that is not that of the requests.
    await anyio.lowlevel.checkpoint()
    text = json.dumps({"outcome": "complete", "ran": "yes", "tasks": []})
    return net.HttpResponse(200, text.encode())


def test_retry_goes_to_another_entry_than_the_one_that_failed() -> None:
    """With as many attempts as entries, one that lives is reached."""
    replies: list[client.Reply] = []

    async def main() -> None:
        async with anyio.create_task_group() as group:
            app = net.asgi_app(_complete)
            port = await group.start(
                net.serve_http, app, "127.0.0.1", 0, anyio.Event()
            )
            urls = [_DEAD, f"http://127.0.0.1:{port}"]
            options = client.ClientOptions(
                max_attempts=len(urls), retry_burst=1000.0
            )
            async with client.Client(urls, options) as caller:
                job = client.Job("shop", "lookup", (client.Task({}),))

                async def submit() -> None:
                    replies.append(await caller.submit(job))

                async with anyio.create_task_group() as jobs:
                    for _ in range(_JOBS):
                        jobs.start_soon(submit)
            group.cancel_scope.cancel()

    anyio.run(main)
    assert [one.outcome for one in replies] == ["complete"] * _JOBS
