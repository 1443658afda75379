"""What the clients of a soak send, and when."""

import asyncio
import dataclasses
import typing

import pytest

from ferryledge.platform import standin as platform_standin
from ferryledge.soak import _clients
from ferryledge.soak import _judge
from ferryledge.soak import _plan
from ferryledge.soak import _workload

_STATE = platform_standin.ClientState


@dataclasses.dataclass
class _Sent:
    """The requests of a single job."""

    #: Numbers of the entries, in order.
    entries: list[int] = dataclasses.field(default_factory=list)
    #: The seconds that the client waits for each answer.
    deadlines_s: list[float] = dataclasses.field(default_factory=list)
    #: How many requests were still open at each of them.
    still_open: list[int] = dataclasses.field(default_factory=list)
    #: Requests whose connection was closed before an answer.
    closed: int = 0


@pytest.fixture
def sent(monkeypatch: pytest.MonkeyPatch) -> _Sent:
    """Entries of which the first answers only after another one has."""
    sent = _Sent()
    answered = asyncio.Event()
    open_now = 0

    async def submit(*args: typing.Any) -> platform_standin.ClientAnswer:
        nonlocal open_now
        sent.deadlines_s.append(args[-1])
        sent.still_open.append(open_now)
        if len(sent.deadlines_s) > 1:
            answered.set()
            return platform_standin.ClientAnswer(_STATE.REFUSED, 503)
        open_now += 1
        try:
            await answered.wait()
        except asyncio.CancelledError:
            sent.closed += 1
            raise
        finally:
            open_now -= 1
        return platform_standin.ClientAnswer(_STATE.UNKNOWN, 504)

    monkeypatch.setattr(platform_standin, "submit", submit)
    monkeypatch.setattr(_clients, "_REPEAT_S", 0.01)
    return sent


def _submit_one(plan: _plan.Plan, sent: _Sent) -> _judge.Judge:
    """Let a client submit a single job; return the judge of it."""

    class _Judge(_judge.Judge):
        def submitted(self, job: str, tasks: int, entry: int = 0) -> None:
            sent.entries.append(entry)
            super().submitted(job, tasks, entry)

    judge = _Judge()
    clients = _clients.Clients(
        plan,
        _workload.Workload(),
        judge,
        lambda: plan.seconds if sent.entries else 0.0,
    )
    asyncio.run(clients.submit_many(0))
    return judge


def test_silent_client_leaves_its_first_request_open(sent: _Sent) -> None:
    """Guards against an entry that learns that its client left."""
    plan = _plan.Plan(1, 1.0, 3, 5, (), silent_clients=1.0)
    judge = _submit_one(plan, sent)
    assert len(set(sent.entries)) == 2
    assert sent.still_open == [0, 1]
    assert sent.closed == 0
    assert sent.deadlines_s[1] < sent.deadlines_s[0]
    assert judge.count(_STATE.REFUSED) == 1
