"""Calls to stand-ins for the store and an endpoint."""

import random

import anyio
import pytest

from ferryledge import leases
from ferryledge import net
from ferryledge import platform
from ferryledge.platform import standin as platform_standin
from ferryledge.platform.standin import _connections
from ferryledge.platform.tests import servers
from ferryledge import standin
from ferryledge import wire


def test_newest_record_of_each_key_is_returned() -> None:
    server = platform_standin.StoreServer()

    async def use(port: int) -> None:
        store = platform.StoreClient(f"127.0.0.1:{port}")
        for value in (b"old", b"new"):
            await store.put("keyed.t", platform.KeyedRecord("k", value))
        page = await store.read_newest("keyed.t")
        assert page.records == (platform.KeyedRecord("k", b"new"),)
        await store.put("keyed.t", platform.KeyedRecord("l", b""))
        later = await store.read("keyed.t", page.next_offset, 0.0)
        assert later.records == (platform.KeyedRecord("l", b""),)
        assert later.next_offset == page.next_offset + 1
        await store.close()

    servers.serve(server.handle, use)


def test_busy_store_is_an_error() -> None:
    server = platform_standin.StoreServer()
    server.behaviour = platform_standin.StoreBehaviour.BUSY

    async def use(port: int) -> None:
        store = platform.StoreClient(f"127.0.0.1:{port}")
        with pytest.raises(platform.StoreError, match="503"):
            await store.read_newest("keyed.t")

    servers.serve(server.handle, use)


def test_deleted_records_have_their_own_error() -> None:
    async def gone(request: net.Request) -> net.HttpResponse:
        return net.HttpResponse.json(410, {"First": 9})

    async def use(port: int) -> None:
        store = platform.StoreClient(f"127.0.0.1:{port}")
        with pytest.raises(platform.RecordsGoneError):
            await store.read("keyed.t", 1, 0.0)

    servers.serve(gone, use)


def test_undecodable_key_does_not_hide_later_records() -> None:
    async def answer(request: net.Request) -> net.HttpResponse:
        records = (b"\x02\xff\xfevalue", b"\x01kvalue")
        framed = [
            len(record).to_bytes(4, "big") + record for record in records
        ]
        return net.HttpResponse(200, bytes(16) + b"".join(framed))

    async def use(port: int) -> None:
        store = platform.StoreClient(f"127.0.0.1:{port}")
        page = await store.read("keyed.t", 0, 0.0)
        assert page.records[1] == platform.KeyedRecord("k", b"value")

    servers.serve(answer, use)


def test_unreachable_store_is_an_error() -> None:
    async def main() -> None:
        store = platform.StoreClient("127.0.0.1:9")
        with pytest.raises(platform.StoreError):
            await store.read_newest("keyed.t")

    anyio.run(main)


def _endpoint(
    heard: list[tuple[platform_standin.RunNotice, leases.RunKey, str]]
    | None = None,
) -> platform_standin.EndpointServer:
    model = standin.LeasedEndpoint(
        "e",
        wire.Resources(4000, 4000, 0),
        0.0,
        lambda key: wire.Resources(1000, 10, 0),
        lambda key, endpoint: (60.0, True),
        lambda what, key, endpoint: None,
    )
    return platform_standin.EndpointServer(
        "desk",
        "127.0.0.1",
        0,
        "http://127.0.0.1:9",
        model,
        random.Random(1),
        lambda *event: None if heard is None else heard.append(event),
    )


def test_run_is_started_listed_and_stopped() -> None:
    server = _endpoint()
    key = leases.RunKey("j", 0, 3, 1)

    async def use(port: int) -> None:
        calls = platform.EndpointCalls(f"127.0.0.1:{port}")
        until = server.model.clock_ms(anyio.current_time()) + 900
        order = leases.StartRun(key, "x", "e-1", until, 7, 0.5)
        started = await calls.start(order)
        assert started.result is leases.StartResult.STARTED
        renewal = leases.Renewal("e-1", until, 7, 0, 0)
        renewed = await calls.renew(renewal)
        assert isinstance(renewed, leases.LeaseRenewed)
        assert [run.key for run in renewed.running] == [key]
        stopped = await calls.stop(leases.StopRun(key, "e-1", 7))
        assert stopped.confirmed
        await calls.close()

    servers.serve(server.handle, use)


def test_stop_and_acknowledgement_are_told() -> None:
    heard: list[tuple[platform_standin.RunNotice, leases.RunKey, str]] = []
    server = _endpoint(heard)
    key = leases.RunKey("j", 0, 3, 1)
    told = platform_standin.RunNotice

    async def use(port: int) -> None:
        calls = platform.EndpointCalls(f"127.0.0.1:{port}")
        until = server.model.clock_ms(anyio.current_time()) + 900
        await calls.start(leases.StartRun(key, "x", "e-1", until, 7, 0.5))
        await calls.stop(leases.StopRun(key, "e-1", 7))
        assert heard == [(told.STOP_ORDERED, key, "e")]
        server.model.advance(anyio.current_time() + 0.1)
        await calls.renew(leases.Renewal("e-1", until, 7, 0, 0))
        assert len(heard) == 1
        await calls.renew(leases.Renewal("e-1", until, 7, 1, 0))
        assert heard[1:] == [(told.ACKNOWLEDGED, key, "e")]
        await calls.close()

    servers.serve(server.handle, use)


def test_stop_that_is_ignored_leaves_the_run_active() -> None:
    heard: list[tuple[platform_standin.RunNotice, leases.RunKey, str]] = []
    server = _endpoint(heard)
    key = leases.RunKey("j", 0, 3, 1)

    async def use(port: int) -> None:
        calls = platform.EndpointCalls(f"127.0.0.1:{port}")
        until = server.model.clock_ms(anyio.current_time()) + 900
        await calls.start(leases.StartRun(key, "x", "e-1", until, 7, 0.5))
        server.ignores_stops = True
        stopped = await calls.stop(leases.StopRun(key, "e-1", 7, 0.06))
        assert not stopped.confirmed
        assert heard == [(platform_standin.RunNotice.STOP_IGNORED, key, "e")]
        assert server.model.runs[key].stops_at is None
        await calls.close()

    servers.serve(server.handle, use)


def test_silent_connection_is_not_answered_and_a_new_one_is() -> None:
    calls_seen: list[str] = []

    async def answer(request: net.Request) -> net.HttpResponse:
        calls_seen.append(request.path)
        return net.HttpResponse.json(200, {})

    app = _connections.SilentConnections(net.asgi_app(answer))

    async def main() -> None:
        async with anyio.create_task_group() as group:
            stop = anyio.Event()
            port = await group.start(net.serve_http, app, "127.0.0.1", 0, stop)
            url = f"http://127.0.0.1:{port}"
            old, new = net.HttpClient(url, 1), net.HttpClient(url, 1)
            await old.call("POST", "/first", b"{}", answer_s=5.0)
            app.silence()
            with pytest.raises(net.CallError):
                await old.call("POST", "/lost", b"{}", answer_s=0.2)
            await new.call("POST", "/second", b"{}", answer_s=5.0)
            # The client has closed the silent connection.
            await old.call("POST", "/third", b"{}", answer_s=5.0)
            assert calls_seen == ["/first", "/second", "/third"]
            for client in (old, new):
                await client.close()
            stop.set()

    anyio.run(main)


def test_refusals_of_an_order_have_different_results() -> None:
    server = _endpoint()
    key = leases.RunKey("j", 0, 0, 1)

    async def use(port: int) -> None:
        calls = platform.EndpointCalls(f"127.0.0.1:{port}")
        until = server.model.clock_ms(anyio.current_time()) + 900
        cases = (
            (leases.StartRun(key, "x", "e-2", until, 7, 0.5), "replaced"),
            (leases.StartRun(key, "x", "e-1", 1, 7, 0.5), "late"),
            (leases.StartRun(key, "x", "e-1", until, 6, 0.5), "fenced"),
        )
        for order, result in cases:
            answer = await calls.start(order)
            assert answer.result is leases.StartResult(result)
        fenced = await calls.renew(leases.Renewal("e-1", 0, 1, 0, 0))
        assert isinstance(fenced, leases.LeaseNotRenewed)
        assert fenced.fault is leases.CallFault.FENCED
        assert fenced.clock_ms > 0

    servers.serve(server.handle, use)


def test_unreachable_endpoint_is_down() -> None:
    async def main() -> None:
        calls = platform.EndpointCalls("127.0.0.1:9")
        order = leases.StartRun(
            leases.RunKey("j", 0, 0, 1), "x", "", 1, 1, 0.5
        )
        answer = await calls.start(order)
        assert answer.result is leases.StartResult.DOWN

    anyio.run(main)
