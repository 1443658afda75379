"""Tests how an entry answers clients that cancel or look up jobs."""

import types

import anyio
import pytest

from ferryledge.hosted import _entry
from ferryledge import leases
from ferryledge.leases import _job_queries
from ferryledge.leases.tests import registering
from ferryledge import net
from ferryledge import platform
from ferryledge import wire

_SETTINGS = """
Node = "front-1"
Ip = "127.0.0.1"
Zone = "north"
PortRange = [7720, 7735]
"""
_CONFIG = b"""{"Version": 1, "Routes": [
    {"Name": "holds", "Hostname": "desk.example", "PathPrefix": "/holds/",
     "Backend": "desk"}]}"""
_JOB = registering.JOB


@pytest.fixture
def entry() -> _entry.HostedEntry:
    """Return an entry with one route that knows of no other entry."""
    entry = _entry.HostedEntry(platform.parse_settings(_SETTINGS), ("key",))
    loaded = anyio.Event()
    loaded.set()
    config = platform.parse_config(_CONFIG)
    entry._config = types.SimpleNamespace(loaded=loaded, current=config)
    return entry


def _call(
    entry: _entry.HostedEntry,
    method: str,
    path: str,
    *others: str,
    holds: bool = False,
) -> net.HttpResponse:
    """Call an entry that has read which other ones there are.

    :param entry: the entry
    :param method: the method
    :param path: the path
    :param others: names of the other entries; none of them is connected
    :param holds: whether the entry holds the job
    """

    async def receive() -> dict[str, object]:
        return {"type": "http.request", "body": b"", "more_body": False}

    async def main() -> net.HttpResponse:
        scope = {
            "method": method,
            "path": path,
            "headers": [(b"host", b"desk.example")],
        }
        addresses = tuple(
            wire.EntryAddress(name, "127.0.0.1", 1, version=1)
            for name in ("front-1", *others)
        )
        async with anyio.create_task_group() as group:
            entry._group = group
            entry._dialler = types.SimpleNamespace(
                dial=lambda group, entries: None, forget_seeds=lambda: None
            )
            group.start_soon(entry._driver.run)
            entry._driver.post(leases.EntriesFound(addresses))
            if holds:
                job = registering.make_job()
                job.arrived_at = entry._driver.now()
                entry._core._jobs.add(job)
            response = await entry._handle(net.Request(scope, receive))
            group.cancel_scope.cancel()
        return response

    return anyio.run(main)


def _is_cancelled(entry: _entry.HostedEntry) -> bool:
    return _JOB in entry._core._jobs.cancelled


def test_cancel_of_a_held_job_succeeds(entry: _entry.HostedEntry) -> None:
    response = _call(entry, "DELETE", f"/holds/{_JOB}", holds=True)
    assert response.status == 200
    assert _is_cancelled(entry)
    assert not entry._core.holds(_JOB)


def test_cancel_of_a_job_whose_route_was_removed_is_carried_out(
    entry: _entry.HostedEntry,
) -> None:
    """Guards against a job that can't be cancelled without its route."""
    response = _call(entry, "DELETE", f"/gone/{_JOB}", holds=True)
    assert response.status == 410
    assert _is_cancelled(entry)
    assert not entry._core.holds(_JOB)


def test_look_up_of_a_job_whose_route_was_removed_fails(
    entry: _entry.HostedEntry,
) -> None:
    response = _call(entry, "GET", f"/gone/{_JOB}", holds=True)
    assert response.status == 404
    assert not _is_cancelled(entry)


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("DELETE", f"/holds/{_JOB}", 410),
        ("GET", f"/holds/{_JOB}", 410),
        ("DELETE", f"/gone/{_JOB}", 404),
        ("DELETE", "/gone/", 404),
        ("GET", "/gone/", 404),
        ("GET", "/holds/", 200),
        ("PUT", f"/holds/{_JOB}", 405),
    ],
)
def test_call_for_an_unknown_job(
    entry: _entry.HostedEntry, method: str, path: str, status: int
) -> None:
    assert _call(entry, method, path).status == status


@pytest.mark.parametrize("method", ["DELETE", "GET"])
@pytest.mark.parametrize("queue", ["holds", "gone"])
def test_entry_that_can_not_ask_another_one_does_not_acknowledge(
    entry: _entry.HostedEntry,
    monkeypatch: pytest.MonkeyPatch,
    method: str,
    queue: str,
) -> None:
    """Guards against a refusal by an entry that asked nobody."""
    monkeypatch.setattr(_job_queries, "WAIT_S", 0.01)
    response = _call(entry, method, f"/{queue}/{_JOB}", "front-2")
    if (method, queue) == ("GET", "gone"):
        assert response.status == 404
        return
    assert response.status == 503
    assert dict(response.headers)["retry-after"] == "1"
