"""Slopes of the path that runs tasks under leases, without the network.

As in :mod:`ferryledge.capacity._measure`, the cores and the codec are
driven directly; the endpoint answers at once.
"""

import random

from ferryledge.capacity import _fit
from ferryledge.capacity import _tools
from ferryledge import leases
from ferryledge import wire

_ROOM = wire.Resources(64_000, 256_000, 0)
_NEED = wire.Resources(1000, 64, 0)
_CLASS = leases.JobClass("queue", "desk", 0, 2, 1.6, 0.06)
_IDLE_S = 30
#: Seconds between the renewals of an idle agent: the wait of a call.
_RENEW_S = 0.12
_RUN_S = 0.3
_SPEC = "x" * 600


def _seen(now: float) -> leases.EndpointHeartbeat:
    return leases.EndpointHeartbeat(
        "i-1",
        "desk",
        "127.0.0.1:1",
        _ROOM,
        ("a", "r1-1"),
        False,
        0.0,
        int(now * 1000.0) + 1000,
        int(now * 10.0),
    )


def _renewed(
    now: float,
    running: tuple[leases.ListedRun, ...] = (),
    ended: tuple[leases.ListedEnd, ...] = (),
) -> leases.LeaseRenewed:
    clock_ms = int(now * 1000.0) + 1000
    return leases.LeaseRenewed(now, "i-1", clock_ms, running, ended)


def _agent(entries: int) -> leases.LeaseAgent:
    agent = leases.LeaseAgent("agent-1", "inc", "zone", 0.0)
    agent.receive(0.0, _seen(0.0))
    for _ in range(2):
        agent.receive(0.0, _renewed(0.0))
    for number in range(entries):
        name = f"entry-{number}"
        hello = wire.Hello(wire.Role.ENTRY, name, name, "zone")
        agent.receive(0.0, wire.PeerUp(hello))
    return agent


def _answer_asks(agent: leases.LeaseAgent, now: float) -> int:
    """Tick an agent and grant what it asks for; returns the bytes sent."""
    sent = 0
    for action in agent.tick(now):
        if not isinstance(action, leases.SendMessage):
            continue
        sent += len(wire.encode(action.message))
        if isinstance(action.message, wire.GrantRequest):
            grant = wire.encode(wire.LeaseGrant(action.message.number))
            answer = wire.Received(action.peer, _tools.decode(grant))
            agent.receive(now, answer)
    return sent


def _idle_agent(entries: int) -> int:
    """Drive an idle agent; returns the seconds."""
    agent = _agent(entries)
    now = 0.0
    renew_at = 0.0
    while now < _IDLE_S:
        now = max(now + 0.001, min(agent.wake_at(), renew_at))
        if now >= renew_at:
            agent.receive(now, _renewed(now))
            renew_at = now + _RENEW_S
        _answer_asks(agent, now)
    return _IDLE_S


def _run_orders(tasks: int) -> int:
    """Drive an agent with three entries through orders of some tasks."""
    agent = _agent(3)
    now = 0.0
    ends = 0
    orders = max(20, 400 // tasks)
    for number in range(1, orders + 1):
        now += 0.05
        _answer_asks(agent, now)
        runs = tuple(wire.TaskRun(0, index, 1) for index in range(tasks))
        job = f"{number:016x}"
        order = wire.OrderRuns(number, job, _SPEC, _NEED, runs, "i-1", _RUN_S)
        message = _tools.decode(wire.encode(order))
        agent.receive(now, wire.Received("entry-0", message))
        for action in agent.tick(now):
            if isinstance(action, leases.StartRun):
                answered = leases.StartAnswered(
                    action.key, leases.StartResult.STARTED, "i-1"
                )
                agent.receive(now, answered)
        for run in runs:
            ends += 1
            key = leases.RunKey.of(job, run)
            end = leases.ListedEnd(ends, key, wire.RunOutcome.DONE)
            agent.receive(now, _renewed(now, (), (end,)))
            _answer_asks(agent, now)
    return orders


def _entry(agents: int) -> leases.LeaseEntry:
    entry = leases.LeaseEntry("entry-1", "inc", "zone", random.Random(1))
    entry.receive(0.0, leases.ConfigRead(1, b"{}"))
    for number in range(agents):
        name = f"agent-{number}"
        hello = wire.Hello(wire.Role.AGENT, name, name, "zone")
        entry.receive(0.0, wire.PeerUp(hello))
        entry.receive(0.0, wire.Received(name, wire.RunsHeld(())))
        entry.receive(0.0, wire.Received(name, _state(0)))
    entry.tick(0.0)
    return entry


def _state(orders_seen: int) -> wire.EndpointState:
    return wire.EndpointState(
        "i-1", "desk", (), _ROOM, _ROOM, True, orders_seen
    )


def _hear_asks(entry: leases.LeaseEntry, now: float, agents: int) -> None:
    for number in range(agents):
        ask = _tools.decode(wire.encode(wire.GrantRequest(int(now * 1000.0))))
        entry.receive(now, wire.Received(f"agent-{number}", ask))
        for action in entry.tick(now):
            if isinstance(action, leases.SendMessage):
                wire.encode(action.message)


def _idle_entry(agents: int) -> int:
    """Drive an idle entry; returns the seconds."""
    entry = _entry(agents)
    every = leases.LeaseTiming().idle_ask_every_s
    now = 0.0
    while now < _IDLE_S / 10:
        now += every
        _hear_asks(entry, now, agents)
    return _IDLE_S // 10


def _serve_jobs(agents: int) -> int:
    """Drive an entry through jobs of four tasks each."""
    entry = _entry(agents)
    now = 0.0
    jobs = 200
    for number in range(jobs):
        now += 0.01
        if not number % 25:
            _hear_asks(entry, now, agents)
        step = leases.JobStep(4, _NEED, _RUN_S)
        job = leases.LeasedJob(f"{number:016x}", _CLASS, _SPEC, (step,), 5.0)
        entry.receive(now, leases.JobSubmitted(number, job))
        for action in entry.tick(now):
            _end_order(entry, now, action)
        entry.tick(now)
    return jobs


def _end_order(
    entry: leases.LeaseEntry, now: float, action: leases.EntryAction
) -> None:
    if not isinstance(action, leases.SendMessage):
        return
    wire.encode(action.message)
    order = action.message
    if not isinstance(order, wire.OrderRuns):
        return
    for run in order.runs:
        end = wire.RunEnd(run, wire.RunOutcome.DONE, _RUN_S)
        data = wire.encode(wire.RunsEnded(order.job, (end,)))
        entry.receive(now, wire.Received(action.peer, _tools.decode(data)))
    state = _tools.decode(wire.encode(_state(order.number)))
    entry.receive(now, wire.Received(action.peer, state))


def _idle_bytes(streams: int) -> float:
    """Return the bytes a second, both ways, of streams without runs."""
    timing = leases.LeaseTiming()
    ask = len(wire.encode(wire.GrantRequest(100_000))) + _tools.PACKET_BYTES
    grant = len(wire.encode(wire.LeaseGrant(100_000)))
    grant += _tools.PACKET_BYTES
    a_stream = ask / timing.idle_ask_every_s
    a_stream += grant / timing.idle_answer_every_s
    return streams * a_stream


def measure_leased() -> list[_fit.Slope]:
    """Measure the slopes of the leased path."""
    fit = _fit.fit
    by = _tools.by
    cpu = _tools.cpu
    return [
        fit(
            "leased_agent_idle_cpu_by_entries",
            "s a second",
            "entry",
            by(cpu(_idle_agent), 3, 6, 12, 24),
        ),
        fit(
            "leased_agent_cpu_by_tasks_of_an_order",
            "s an order",
            "task",
            by(cpu(_run_orders), 1, 2, 4, 8),
        ),
        fit(
            "leased_entry_idle_cpu_by_agents",
            "s a second",
            "agent",
            by(cpu(_idle_entry), 11, 50, 100, 225),
        ),
        fit(
            "leased_entry_cpu_by_agents",
            "s a job of 4",
            "agent",
            by(cpu(_serve_jobs), 11, 50, 100, 225),
        ),
        fit(
            "leased_idle_bytes_by_streams",
            "bytes a second",
            "stream",
            by(_idle_bytes, 3, 12, 50, 225),
        ),
    ]
