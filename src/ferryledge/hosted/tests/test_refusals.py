"""Tests refusals that an entry gives before its core receives a job."""

import anyio
import loguru
import pytest

from ferryledge.hosted import _entry
from ferryledge import leases
from ferryledge import net
from ferryledge import platform
from ferryledge.platform import standin

_SETTINGS = """
Node = "front-1"
Ip = "127.0.0.1"
Zone = "north"
PortRange = [7720, 7735]
"""
_CLASS = leases.JobClass("holds", "desk", 0, 2, 1.6, 0.06)
_JOB = "5c0e7a21d94b36f8"
#: Time limit of a call that may wait for other processes, in seconds.
_REFUSED_WITHIN_S = 5.0


@pytest.fixture
def logged() -> list[dict[str, object]]:
    """Return a list that receives the fields of each logged line."""
    lines: list[dict[str, object]] = []
    handler_id = loguru.logger.add(
        lambda message: lines.append(dict(message.record["extra"]))
    )
    yield lines
    loguru.logger.remove(handler_id)


def _request() -> net.Request:
    async def receive() -> dict[str, object]:
        return {"type": "http.request", "body": b"{}", "more_body": False}

    scope = {"method": "POST", "path": f"/holds/{_JOB}", "headers": []}
    return net.Request(scope, receive)


def test_refusal_while_stopping_is_logged_with_its_job(
    logged: list[dict[str, object]],
) -> None:
    route = platform.Route("desk.example", "/holds/", _CLASS)

    async def main() -> net.HttpResponse:
        settings = platform.parse_settings(_SETTINGS)
        entry = _entry.HostedEntry(settings, ("key",))
        entry._refusing = True
        return await entry._submit(_request(), route, _JOB)

    response = anyio.run(main)
    assert response.status == 503
    assert any(line.get("job") == _JOB for line in logged)


@pytest.mark.parametrize("method", ["POST", "GET", "DELETE"])
def test_long_name_is_refused(method: str) -> None:
    """Guards against names that fill the links between processes."""
    path = "/holds/" + "x" * 60_000
    headers = [(b"host", b"desk.example")]
    scope = {"method": method, "path": path, "headers": headers}

    async def receive() -> dict[str, object]:
        raise AssertionError("the body of a refused call is not read")

    async def main() -> net.HttpResponse:
        settings = platform.parse_settings(_SETTINGS)
        entry = _entry.HostedEntry(settings, ("key",))
        config = standin.render_config(1, ["holds"])
        entry._config._current = platform.parse_config(config)
        entry._config.loaded.set()
        with anyio.fail_after(_REFUSED_WITHIN_S):
            return await entry._handle(net.Request(scope, receive))

    assert anyio.run(main).status == 400
