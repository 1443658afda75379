"""Odd values in the answers of an endpoint."""

import json

import pytest

from ferryledge.decoding.tests import odd_values
from ferryledge import leases
from ferryledge import platform
from ferryledge.platform.tests import servers
from ferryledge import wire

#: Time limit of a call in seconds, also on a busy machine.
_TIMEOUT_S = 20.0
_TASK = "00000000000000aa.0.0.0"
_RUNNING = [_TASK, 1, "", 50, 0]
_ENDED = [1, "00000000000000bb.0.0.0", 1, "done", ""]
_SOUND_RUN = leases.RunKey("00000000000000cc", 0, 0, 3)
_SOUND_END = leases.RunKey("00000000000000dd", 0, 0, 4)
_LISTS = {
    "ClockMs": 77,
    "Running": [["00000000000000cc.0.0.0", 3, "", 10, 0]],
    "Ended": [[8, "00000000000000dd.0.0.0", 4, "done", ""]],
}


async def _renew(
    port: int, unreadable: list[str]
) -> leases.LeaseRenewed | leases.LeaseNotRenewed:
    calls = platform.EndpointCalls(
        f"127.0.0.1:{port}", note_unreadable=unreadable.append
    )
    renewed = await calls.renew(leases.Renewal("", 0, 1, 0, 0, _TIMEOUT_S))
    await calls.close()
    return renewed


_ODD_ROWS = {
    f"{field} {name}": (field, text)
    for field, row in (("Running", _RUNNING), ("Ended", _ENDED))
    for name, text in odd_values.variants(row, odd_values.DECODABLE).items()
}


# Guards against a row of an endpoint's answer that ends the agent.
@pytest.mark.parametrize(
    ("field", "row"), _ODD_ROWS.values(), ids=_ODD_ROWS.keys()
)
def test_odd_row_does_not_hide_the_others(field: str, row: bytes) -> None:
    lists = {**_LISTS, field: ["odd", *_LISTS[field]]}
    content = json.dumps(lists).encode().replace(b'"odd"', row)

    async def use(port: int) -> None:
        renewed = await _renew(port, [])
        assert isinstance(renewed, leases.LeaseRenewed)
        assert _SOUND_RUN in [run.key for run in renewed.running]
        assert _SOUND_END in [end.key for end in renewed.ended]
        for run in renewed.running:
            assert run.done is None or 0.0 <= run.done <= 1.0
            held = wire.HeldRun(run.key.job, run.key.task_run)
            assert wire.encode(wire.RunsHeld((held,)))
        assert all(end.number < 2**53 for end in renewed.ended)

    servers.serve_body(content, use)


@pytest.mark.parametrize(
    ("field", "row"),
    [("Running", [_TASK, 2**64, "", 1]), ("Ended", [1, _TASK, "x", "done"])],
)
def test_task_of_an_unreadable_run_is_known(
    field: str, row: list[object]
) -> None:
    """Guards against a run that counts as over while it may go on."""
    unreadable: list[str] = []

    async def use(port: int) -> None:
        renewed = await _renew(port, unreadable)
        assert isinstance(renewed, leases.LeaseRenewed)
        assert renewed.unclear_tasks == {("00000000000000aa", 0, 0)}
        assert len(unreadable) == 1

    servers.serve_body(json.dumps({**_LISTS, field: [row]}).encode(), use)


@pytest.mark.parametrize(
    ("row", "number", "how"),
    [
        ([-1, _TASK, 1, "done", ""], 0, wire.RunOutcome.DONE),
        ([2**64, _TASK, 1, "failed", ""], 0, wire.RunOutcome.FAILED),
        ([5, _TASK, 1, "evicted", ""], 5, wire.RunOutcome.STOPPED),
        ([5, _TASK, 1, None, ""], 5, wire.RunOutcome.STOPPED),
    ],
)
def test_readable_part_of_an_end_is_used(
    row: list[object], number: int, how: wire.RunOutcome
) -> None:
    async def use(port: int) -> None:
        renewed = await _renew(port, [])
        assert isinstance(renewed, leases.LeaseRenewed)
        (end,) = renewed.ended
        assert (end.number, end.how) == (number, how)

    servers.serve_body(json.dumps({**_LISTS, "Ended": [row]}).encode(), use)


@pytest.mark.parametrize("name", odd_values.ALL)
@pytest.mark.parametrize(
    "form", ["%s", '{"ClockMs":%s}', '{"Running":%s}', '{"Odd":%s}']
)
def test_unreadable_answer_counts_as_none(name: str, form: str) -> None:
    """Guards against an answer of the endpoint that ends the agent."""
    content = (form % odd_values.ALL[name]).encode()
    key = leases.RunKey("j", 0, 0, 1)

    async def use(port: int) -> None:
        renewed = await _renew(port, [])
        match renewed:
            case leases.LeaseRenewed():
                assert 0 <= renewed.clock_ms < 2**53
                assert not renewed.running
            case leases.LeaseNotRenewed(fault):
                assert fault is leases.CallFault.SILENT
        calls = platform.EndpointCalls(f"127.0.0.1:{port}")
        order = leases.StartRun(key, "x", "", 1, 1, _TIMEOUT_S)
        started = await calls.start(order)
        assert started.result is leases.StartResult.STARTED
        assert 0 <= started.clock_ms < 2**53
        stopped = await calls.stop(leases.StopRun(key, "", 1, _TIMEOUT_S))
        assert stopped.confirmed
        await calls.close()

    servers.serve_body(content, use)
