"""Measures the slopes on one machine, without the network.

The cores and the codec are driven directly, so that a figure is the work
of one role alone. Memory is what the interpreter allocates.
"""

import random
import subprocess
import sys

from ferryledge.capacity import _fit
from ferryledge.capacity import _leased
from ferryledge.capacity import _tools
from ferryledge import configlog
from ferryledge import core
from ferryledge import ledger
from ferryledge import wire

_PAYLOAD = b'{"sku": "BB-7-160", "shop": 1207, "count": 2}'
_RESULT = b'{"stock": 14, "place": "C-12"}'
_ENTITIES: tuple[configlog.Entity, ...] = (
    configlog.Service("service"),
    configlog.Workspace("workspace"),
)
_SLOTS = 32


def _snapshot(version: int = 1) -> configlog.Snapshot:
    return configlog.Snapshot(version, 1, _ENTITIES)


def _entry(endpoints: int) -> core.EntryCore:
    entry = core.EntryCore(
        core.Identity("entry-1", "inc", "zone"),
        core.EntryOptions(max_waiting_tasks=10**9, silence_s=1e9),
        random.Random(1),
    )
    entry.receive(0.0, core.ConfigChanged(_snapshot()))
    for number in range(endpoints):
        hello = wire.Hello(
            wire.Role.AGENT, f"agent-{number}", "inc", "zone", _SLOTS, 64
        )
        entry.receive(0.0, core.PeerUp(hello))
    entry.tick(0.0)
    return entry


def _request(number: int, tasks: int) -> core.JobRequest:
    made = tuple(core.TaskRequest(_PAYLOAD) for _ in range(tasks))
    return core.JobRequest(f"r-{number}", "workspace", "service", made)


def _entry_with_jobs(jobs: int, tasks: int) -> core.EntryCore:
    entry = _entry(1)
    for number in range(jobs):
        event = core.ClientSubmitted(number, _request(number, tasks))
        entry.receive(0.0, event)
    entry.tick(0.0)
    return entry


def _serve_jobs(endpoints: int, tasks: int, jobs: int) -> int:
    """Drive an entry through whole jobs, with the codec's work."""
    entry = _entry(endpoints)
    now = 0.0
    for number in range(jobs):
        now += 0.001
        event = core.ClientSubmitted(number, _request(number, tasks))
        entry.receive(now, event)
        pending = entry.tick(now)
        while pending:
            for action in pending:
                _answer_start(entry, now, action)
            pending = entry.tick(now)
    return jobs


def _answer_start(
    entry: core.EntryCore, now: float, action: core.Action
) -> None:
    if not isinstance(action, core.Send):
        return
    wire.encode(action.message)
    start = action.message
    if not isinstance(start, wire.StartTasks):
        return
    ends = tuple(
        wire.FinishedTask(start.first_seq + n, index, True, _RESULT, 0.1)
        for n, index in enumerate(start.indices)
    )
    groups = [ends] if not start.report_each else [(end,) for end in ends]
    for group in groups:
        data = wire.encode(wire.TasksFinished(start.submission, group))
        message = _tools.decode(data)
        entry.receive(now, core.Received(action.peer, message))


def _agent() -> core.AgentCore:
    agent = core.AgentCore(
        core.Identity("agent-1", "inc", "zone"),
        core.AgentOptions(slots=_SLOTS),
    )
    hello = wire.Hello(wire.Role.ENTRY, "entry-1", "owner", "zone")
    agent.receive(0.0, core.PeerUp(hello))
    return agent


def _run_batches(tasks: int, batches: int) -> int:
    agent = _agent()
    seq = 0
    now = 0.0
    for number in range(batches):
        now += 0.01
        start = wire.StartTasks(
            "inc",
            f"f.{number}",
            "service",
            30.0,
            seq,
            tuple(range(tasks)),
            (_PAYLOAD,) * tasks,
            False,
        )
        seq += tasks
        message = _tools.decode(wire.encode(start))
        agent.receive(now, core.Received("entry-1", message))
        for action in agent.tick(now):
            if isinstance(action, core.RunTask):
                ended = core.TaskEnded(
                    action.owner, action.seq, True, _RESULT, 0.1
                )
                agent.receive(now, ended)
        for action in agent.tick(now):
            if isinstance(action, core.Send):
                wire.encode(action.message)
    return batches


def _bytes_of_job(tasks: int) -> float:
    """Return the bytes of a job's messages between processes."""
    place = wire.PlaceJob(
        "0123456789.1",
        "workspace",
        "service",
        (wire.PlacedTask(_PAYLOAD, 0.1),) * tasks,
        label="request-1",
    )
    indices = tuple(range(tasks))
    start = wire.StartTasks(
        "0123456789",
        "0123456789.1",
        "service",
        30.0,
        1000,
        indices,
        (_PAYLOAD,) * tasks,
    )
    ends = tuple(
        wire.FinishedTask(1000 + n, n, True, _RESULT, 0.123456)
        for n in indices
    )
    record = wire.OutcomeRecord(
        "complete", (_RESULT,) * tasks, task_tags=("complete",) * tasks
    )
    messages: list[wire.Message] = [
        place,
        start,
        wire.TasksFinished("0123456789.1", ends),
        wire.JobAnswered("0123456789.1", record),
    ]
    return float(sum(len(wire.encode(one)) for one in messages))


def _workspaces(count: int) -> tuple[configlog.Entity, ...]:
    return tuple(
        configlog.Workspace(f"workspace-{n}", 100) for n in range(count)
    )


def _fold_changes(entities: int, changes: int) -> int:
    snapshot = configlog.Snapshot(1, 1, _workspaces(entities))
    for number in range(changes):
        change = configlog.Change(
            f"change-{number}",
            snapshot.version,
            "operator",
            "because",
            0.0,
            (configlog.Workspace("workspace-0", number),),
        )
        decoded = configlog.decode_record(configlog.encode_record(change))
        snapshot, _ = configlog.fold(snapshot, decoded, snapshot.through)
    return changes


def _checkpoint_bytes(entities: int) -> float:
    snapshot = configlog.Snapshot(1, 1, _workspaces(entities))
    record = configlog.Checkpoint(snapshot, "entry-1")
    return float(len(configlog.encode_record(record)))


def _finished_tasks(count: int) -> ledger.StartLedger:
    starts = ledger.StartLedger()
    for seq in range(count):
        key = ledger.TaskKey("owner", seq)
        starts.admit(key, f"front.{seq}", 0)
        starts.finish(key, ledger.Finish(True, bytes(_RESULT), 0.1, 0.0))
    return starts


def _used_tickets(count: int) -> ledger.TicketLedger[wire.OutcomeRecord]:
    tickets: ledger.TicketLedger[wire.OutcomeRecord]
    tickets = ledger.TicketLedger("agent-1", "inc")
    for number, ticket in enumerate(tickets.mint(count, 0.0)):
        submission = f"front.{number}"
        tickets.authorise(ticket, submission, f"digest-{number}", "owner")
        record = wire.OutcomeRecord("complete", (bytes(_RESULT),))
        tickets.settle(ticket, submission, record)
    return tickets


def _keepalive_bytes(streams: int) -> float:
    return float(streams * len(wire.encode(wire.KeepAlive(2200, 0, 0.5))))


def _idle_tick(streams: int) -> int:
    """Drive an idle entry through an hour of keep-alives."""
    entry = _entry(streams)
    now = 0.0
    while now < 60.0:
        now = max(now + 0.001, min(entry.wake_at(), 60.0))
        for action in entry.tick(now):
            if isinstance(action, core.Send):
                wire.encode(action.message)
        if not now % 5.0:
            for number in range(streams):
                alive = _tools.decode(wire.encode(wire.KeepAlive(1)))
                event = core.Received(f"agent-{number}", alive)
                entry.receive(now, event)
    return 60


def _resident_mb(module: str) -> float:
    """Return the resident memory of a process that only imports."""
    code = (
        f"import {module}\n"
        "pages = int(open('/proc/self/statm').read().split()[1])\n"
        "print(pages * 4096 / 1e6)"
    )
    done = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
    )
    return float(done.stdout)


def measure_all() -> list[_fit.Slope]:
    """Measure every slope; takes about a minute."""
    fit = _fit.fit
    return [
        fit(
            "entry_memory_by_endpoints",
            "bytes",
            "endpoint",
            _tools.by(
                lambda n: _tools.allocated(lambda: _entry(n)),
                50,
                100,
                200,
                400,
            ),
        ),
        fit(
            "entry_memory_by_open_tasks",
            "bytes",
            "task in jobs of 10",
            _tools.by(
                lambda n: _tools.allocated(
                    lambda: _entry_with_jobs(n // 10, 10)
                ),
                2_000,
                5_000,
                10_000,
                20_000,
            ),
        ),
        fit(
            "entry_cpu_by_tasks_of_a_job",
            "s a job",
            "task",
            _tools.by(
                lambda n: _tools.least_cpu(
                    lambda: _serve_jobs(32, n, max(5, 2000 // n))
                ),
                1,
                10,
                100,
                400,
                810,
            ),
        ),
        fit(
            "entry_cpu_by_endpoints",
            "s a job of 10",
            "endpoint",
            _tools.by(
                lambda n: _tools.least_cpu(lambda: _serve_jobs(n, 10, 300)),
                24,
                48,
                96,
                192,
            ),
        ),
        fit(
            "agent_cpu_by_tasks_of_a_batch",
            "s a batch",
            "task",
            _tools.by(_tools.cpu(_run_batches, 500), 1, 4, 8, 16, 32),
        ),
        fit(
            "bytes_by_tasks_of_a_job",
            "bytes a job",
            "task",
            _tools.by(_bytes_of_job, 1, 10, 100, 810),
        ),
        fit(
            "fold_cpu_by_entities",
            "s a change",
            "entity",
            _tools.by(_tools.cpu(_fold_changes, 100), 50, 140, 400, 1000),
        ),
        fit(
            "checkpoint_bytes_by_entities",
            "bytes",
            "entity",
            _tools.by(_checkpoint_bytes, 50, 140, 400, 1000),
        ),
        fit(
            "agent_memory_by_finished_tasks",
            "bytes",
            "task",
            _tools.by(
                lambda n: _tools.allocated(lambda: _finished_tasks(n)),
                1_000,
                2_000,
                4_000,
                8_000,
            ),
        ),
        fit(
            "agent_memory_by_used_tickets",
            "bytes",
            "ticket",
            _tools.by(
                lambda n: _tools.allocated(lambda: _used_tickets(n)),
                1_000,
                2_000,
                4_000,
                8_000,
            ),
        ),
        fit(
            "keepalive_bytes_by_streams",
            "bytes",
            "stream",
            _tools.by(_keepalive_bytes, 10, 50, 100, 225),
        ),
        fit(
            "idle_entry_cpu_by_streams",
            "s a second",
            "stream",
            _tools.by(_tools.cpu(_idle_tick), 25, 50, 100, 225),
        ),
        fit(
            "library_floor_mb",
            "MB",
            "role: 1 agent, 2 entry",
            [
                (1.0, _resident_mb("ferryledge.agent")),
                (2.0, _resident_mb("ferryledge.entry")),
            ],
        ),
        *_leased.measure_leased(),
    ]
