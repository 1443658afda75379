"""Client of the endpoint: runs tasks over HTTP."""

import dataclasses
import json

import anyio

from ferryledge import core
from ferryledge import runtime

#: Maximum size of a task's result in bytes.
MAX_RESULT_BYTES = 1024 * 1024
_CONNECT_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class TaskResult:
    """The result of one call to the endpoint."""

    #: Whether the task succeeded.
    ok: bool
    #: The task's result as JSON text, or the reason of the failure.
    body: bytes
    #: False only if the endpoint cannot have received the task.
    started: bool = True


class EndpointClient:
    """Calls one endpoint.

    :param url: base address of the endpoint
    :param connections: maximum number of connections
    """

    def __init__(self, url: str, connections: int) -> None:
        self._caller = runtime.HttpClient(url, connections)

    async def close(self) -> None:
        """Close all connections."""
        await self._caller.close()

    async def run(self, task: core.RunTask) -> TaskResult:
        """Run a task with one call, which is never repeated.

        :param task: the task and its timeout
        :return: the result; failures are returned, not raised
        """
        headers = [
            ("x-ferryledge-submission", task.submission),
            ("x-ferryledge-task", str(task.index)),
            ("x-ferryledge-label", task.label),
        ]
        path = f"/v1/tasks/{task.service}"
        try:
            with anyio.fail_after(task.timeout_s):
                response = await self._caller.call(
                    "POST", path, task.payload, headers, _CONNECT_TIMEOUT_S
                )
        except runtime.ConnectError as exc:
            return TaskResult(False, _describe_error(exc), started=False)
        except TimeoutError:
            return TaskResult(False, b"timeout")
        except runtime.CallError as exc:
            return TaskResult(False, _describe_error(exc))
        return _check_response(response.status, response.content)


def _describe_error(exc: Exception) -> bytes:
    return f"{type(exc).__name__}: {exc}".encode()


def _check_response(status: int, content: bytes) -> TaskResult:
    if status != 200:
        return TaskResult(False, f"status {status}".encode())
    if len(content) > MAX_RESULT_BYTES:
        return TaskResult(False, b"result too large")
    try:
        json.loads(content or b"null")
    except (ValueError, RecursionError):
        return TaskResult(False, b"result is not JSON")
    return TaskResult(True, content or b"null")
