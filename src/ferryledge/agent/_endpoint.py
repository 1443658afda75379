"""Runs tasks on the endpoint over HTTP."""

import dataclasses
import json

import anyio

from ferryledge import core
from ferryledge import runtime

#: Largest result of a task in bytes.
MAX_RESULT_BYTES = 1024 * 1024
_CONNECT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class TaskResult:
    """What came of one call."""

    ok: bool
    #: The result as JSON text, or the reason of the failure.
    body: bytes
    #: False only with proof that the endpoint never got the task.
    started: bool = True


class EndpointClient:
    """Calls one endpoint.

    :param url: its base address
    :param connections: most connections at once
    """

    def __init__(self, url: str, connections: int) -> None:
        self._caller = runtime.HttpCaller(url, connections)

    async def close(self) -> None:
        """Close all connections."""
        await self._caller.close()

    async def run(self, task: core.RunTask) -> TaskResult:
        """Call the endpoint once and return what came of it."""
        headers = [
            ("x-ferryledge-submission", task.submission),
            ("x-ferryledge-task", str(task.index)),
            ("x-ferryledge-label", task.label),
        ]
        path = f"/v1/tasks/{task.service}"
        try:
            with anyio.fail_after(task.timeout_s):
                response = await self._caller.call(
                    "POST", path, task.payload, headers, _CONNECT_S
                )
        except runtime.ConnectError as exc:
            return TaskResult(False, _reason(exc), started=False)
        except TimeoutError:
            return TaskResult(False, b"timeout")
        except runtime.CallError as exc:
            return TaskResult(False, _reason(exc))
        return _checked(response.status, response.content)


def _reason(exc: Exception) -> bytes:
    return f"{type(exc).__name__}: {exc}".encode()


def _checked(status: int, content: bytes) -> TaskResult:
    if status != 200:
        return TaskResult(False, f"status {status}".encode())
    if len(content) > MAX_RESULT_BYTES:
        return TaskResult(False, b"result too large")
    try:
        json.loads(content or b"null")
    except ValueError:
        return TaskResult(False, b"result is not JSON")
    return TaskResult(True, content or b"null")
