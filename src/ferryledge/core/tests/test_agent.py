"""Tests of the agent core, driven by events without I/O."""

import pytest

from ferryledge import core
from ferryledge import wire

REASON = wire.ReleaseReason


class Driver:
    """Passes events to one agent core and returns its actions."""

    def __init__(self, **options):
        self.now = 0.0
        self.agent = core.AgentCore(
            core.Identity("agent-1", "a1", "north"),
            core.AgentOptions(**options),
        )
        self.process(
            core.PeerUp(wire.Hello(wire.Role.ENTRY, "e", "e1", "north"))
        )

    def process(self, *events):
        for event in events:
            self.agent.receive(self.now, event)
        return self.agent.tick(self.now)

    def receive_message(self, message):
        return self.process(core.Received("e", message))

    def start_tasks(self, seq, tasks=1, **fields):
        fields.setdefault("incarnation", "a1")
        return self.receive_message(
            wire.StartTasks(
                submission=f"f.{seq}",
                service="s",
                timeout_s=5.0,
                first_seq=seq,
                indices=tuple(range(tasks)),
                payloads=(b"1",) * tasks,
                **fields,
            )
        )

    def end_task(self, seq, ok=True, started=True):
        return self.process(core.TaskEnded("e1", seq, ok, b"1", 0.1, started))


@pytest.fixture
def driver():
    return Driver(slots=4)


def started_seqs(actions):
    return [
        action.seq for action in actions if isinstance(action, core.RunTask)
    ]


def sent(actions, kind):
    return [
        action.message
        for action in actions
        if isinstance(action, core.Send) and isinstance(action.message, kind)
    ]


def released(actions):
    return [
        (message.seqs, message.reason)
        for message in sent(actions, wire.TasksReleased)
    ]


def test_tasks_beyond_free_slots_are_released(driver):
    assert started_seqs(driver.start_tasks(0, tasks=3)) == [0, 1, 2]
    actions = driver.start_tasks(10, tasks=3)
    assert started_seqs(actions) == [10]
    assert released(actions) == [((11, 12), REASON.BUSY)]


def test_repeated_start_message_starts_nothing(driver):
    driver.start_tasks(0)
    assert started_seqs(driver.start_tasks(0)) == []
    driver.end_task(0)
    assert started_seqs(driver.start_tasks(0)) == []


@pytest.mark.parametrize(
    ("fields", "reason"),
    [
        ({"incarnation": "a0"}, REASON.INCARNATION),
        ({"memory_mb": 200}, REASON.BUSY),
        ({"ticket": "agent-1~a0~0"}, REASON.TICKET),
    ],
)
def test_unacceptable_task_is_released_for_good(fields, reason):
    driver = Driver(slots=4, memory_mb=100)
    actions = driver.start_tasks(0, **fields)
    assert started_seqs(actions) == []
    assert released(actions) == [((0,), reason)]
    assert started_seqs(driver.start_tasks(0)) == []


def test_draining_agent_announces_it_and_starts_nothing(driver):
    assert sent(driver.process(core.DrainRequested()), wire.Leaving)
    assert released(driver.start_tasks(0)) == [((0,), REASON.LEAVING)]


def test_draining_agent_issues_no_tickets(driver):
    """Guards against tickets that are handed out when it is gone."""
    driver.process(core.DrainRequested())
    actions = driver.receive_message(wire.TicketRequest(2))
    assert sent(actions, wire.Tickets) == [wire.Tickets(())]


def test_drain_is_known_once_every_scheduler_confirmed_it(driver):
    """Guards against an agent that ends while an order is on its way."""
    second = wire.Hello(wire.Role.ENTRY, "f", "f1", "north")
    driver.process(core.PeerUp(second))
    assert not driver.agent.is_drain_known
    driver.process(core.DrainRequested())
    driver.receive_message(wire.Leaving())
    driver.receive_message(wire.Leaving(confirms=True))
    assert not driver.agent.is_drain_known
    driver.process(core.Received("f", wire.Leaving(confirms=True)))
    assert driver.agent.is_drain_known


def test_lost_scheduler_need_not_confirm_a_drain(driver):
    driver.process(core.DrainRequested())
    driver.process(core.PeerDown("e", "e1"))
    assert driver.agent.is_drain_known


def test_scheduler_that_connects_during_a_drain_is_told(driver):
    """Guards against a greeting that was sent just before the drain."""
    driver.process(core.DrainRequested())
    driver.receive_message(wire.Leaving(confirms=True))
    hello = wire.Hello(wire.Role.ENTRY, "e", "e1", "north")
    actions = driver.process(core.PeerDown("e", "e1"), core.PeerUp(hello))
    assert sent(actions, wire.Leaving)
    assert not driver.agent.is_drain_known


def test_lost_scheduler_is_awaited_for_its_grace_period():
    """Guards against a drain that takes results along."""
    driver = Driver(owner_grace_s=5.0)
    assert not driver.agent.awaits_schedulers
    driver.process(core.PeerDown("e", "e1"))
    assert driver.agent.awaits_schedulers
    driver.now = 6.0
    driver.process()
    assert not driver.agent.awaits_schedulers


def test_scheduler_that_left_is_not_awaited(driver):
    driver.receive_message(wire.Leaving())
    driver.process(core.PeerDown("e", "e1"))
    assert not driver.agent.awaits_schedulers


def test_results_are_batched_until_the_last_or_a_failure(driver):
    driver.start_tasks(0, tasks=3, report_each=False)
    assert sent(driver.end_task(0), wire.TasksFinished) == []
    (done,) = sent(driver.end_task(1, ok=False), wire.TasksFinished)
    assert [task.seq for task in done.tasks] == [0, 1]
    (last,) = sent(driver.end_task(2), wire.TasksFinished)
    assert [task.seq for task in last.tasks] == [2]


def test_report_now_ends_batching_of_results(driver):
    driver.start_tasks(0, tasks=3, report_each=False)
    driver.end_task(0)
    (done,) = sent(
        driver.receive_message(wire.ReportNow()), wire.TasksFinished
    )
    assert [task.seq for task in done.tasks] == [0]
    assert len(sent(driver.end_task(1), wire.TasksFinished)) == 1


def test_task_that_did_not_reach_the_endpoint_is_released(driver):
    driver.start_tasks(0)
    actions = driver.end_task(0, ok=False, started=False)
    assert released(actions) == [((0,), REASON.UNREACHABLE)]
    assert started_seqs(driver.start_tasks(0)) == []


def test_task_cancelled_before_its_start_message_is_not_started(driver):
    actions = driver.receive_message(wire.CancelTasks("f.7", (7,)))
    assert released(actions) == [((7,), REASON.CANCELLED)]
    assert started_seqs(driver.start_tasks(7)) == []


def test_reconcile_after_reconnect_reports_task_states(driver):
    driver.start_tasks(0)
    driver.start_tasks(1)
    driver.process(core.PeerDown("e", "e1"))
    driver.end_task(0)
    hello = wire.Hello(wire.Role.ENTRY, "e", "e1", "north")
    driver.process(core.PeerUp(hello))
    actions = driver.receive_message(
        wire.Reconcile((0, 1, 2), ("f.0", "f.1", "f.2"))
    )
    (done,) = sent(actions, wire.TasksFinished)
    assert [task.seq for task in done.tasks] == [0]
    assert released(actions) == [((2,), REASON.UNSEEN)]


def test_newer_configuration_is_acknowledged_immediately(driver):
    (acknowledged,) = sent(
        driver.receive_message(wire.KeepAlive(7)), wire.KeepAlive
    )
    assert acknowledged.config_version == 7
    assert (
        sent(driver.receive_message(wire.KeepAlive(7)), wire.KeepAlive) == []
    )


def test_ticket_admits_one_submission_and_keeps_its_outcome(driver):
    (minted,) = sent(
        driver.receive_message(wire.TicketRequest(1)), wire.Tickets
    )
    (ticket,) = minted.tickets
    assert started_seqs(
        driver.start_tasks(0, ticket=ticket, label="digest")
    ) == [0]
    (verdict,) = sent(
        driver.receive_message(wire.Authorise(ticket, "g.1", "digest")),
        wire.Verdict,
    )
    assert verdict.verdict is wire.VerdictTag.IN_PROGRESS
    driver.end_task(0)
    (verdict,) = sent(
        driver.receive_message(wire.Authorise(ticket, "g.1", "digest")),
        wire.Verdict,
    )
    assert verdict.outcome.results == (b"1",)


def test_open_tickets_are_told_to_a_scheduler_that_reconnects(driver):
    """Guards against an outcome that is lost with the stream."""
    (tickets,) = sent(
        driver.receive_message(wire.TicketRequest(3)), wire.Tickets
    )
    elsewhere, here, done = tickets.tickets
    for ticket, submission in ((elsewhere, "f.90"), (done, "f.91")):
        driver.receive_message(wire.Authorise(ticket, submission, "d"))
    complete = wire.OutcomeRecord("complete")
    driver.receive_message(wire.Settle(done, "f.91", complete))
    assert started_seqs(driver.start_tasks(0, label="d", ticket=here)) == [0]
    hello = wire.Hello(wire.Role.ENTRY, "e", "e1", "north")
    actions = driver.process(core.PeerDown("e", "e1"), core.PeerUp(hello))
    (verdict,) = sent(actions, wire.Verdict)
    assert (verdict.ticket, verdict.submission) == (elsewhere, "f.90")
    assert verdict.verdict is wire.VerdictTag.GRANTED


def test_tickets_of_lost_scheduler_are_settled_after_grace_period(driver):
    (minted,) = sent(
        driver.receive_message(wire.TicketRequest(1)), wire.Tickets
    )
    (ticket,) = minted.tickets
    driver.receive_message(wire.Authorise(ticket, "f.1", "digest"))
    driver.process(core.PeerDown("e", "e1"))
    driver.now += 10.0
    driver.process(
        core.PeerUp(wire.Hello(wire.Role.ENTRY, "n", "n1", "north"))
    )
    driver.agent.receive(
        driver.now,
        core.Received("n", wire.Authorise(ticket, "n.1", "digest")),
    )
    (verdict,) = sent(driver.agent.tick(driver.now), wire.Verdict)
    driver.now += 2.0
    driver.process()
    driver.agent.receive(
        driver.now,
        core.Received("n", wire.Authorise(ticket, "n.1", "digest")),
    )
    (verdict,) = sent(driver.agent.tick(driver.now), wire.Verdict)
    assert verdict.outcome.tag == "failed_may_have_run"
