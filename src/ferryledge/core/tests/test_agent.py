"""An agent's decisions, driven directly."""

import pytest

from ferryledge import core
from ferryledge import wire

REASON = wire.ReleaseReason


class Driver:
    """Drives one agent and collects its actions."""

    def __init__(self, **options):
        self.now = 0.0
        self.agent = core.AgentCore(
            core.Identity("agent-1", "a1", "north"),
            core.AgentOptions(**options),
        )
        self.do(core.PeerUp(wire.Hello(wire.Role.ENTRY, "e", "e1", "north")))

    def do(self, *events):
        for event in events:
            self.agent.receive(self.now, event)
        return self.agent.tick(self.now)

    def say(self, message):
        return self.do(core.Received("e", message))

    def start(self, seq, tasks=1, **fields):
        fields.setdefault("incarnation", "a1")
        return self.say(
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

    def end(self, seq, ok=True, started=True):
        return self.do(core.TaskEnded("e1", seq, ok, b"1", 0.1, started))


@pytest.fixture
def driver():
    return Driver(slots=4)


def runs(actions):
    return [one.seq for one in actions if isinstance(one, core.RunTask)]


def sent(actions, kind):
    return [
        one.message
        for one in actions
        if isinstance(one, core.Send) and isinstance(one.message, kind)
    ]


def released(actions):
    return [
        (one.seqs, one.reason) for one in sent(actions, wire.TasksReleased)
    ]


def test_it_starts_what_fits_and_releases_the_rest(driver):
    assert runs(driver.start(0, tasks=3)) == [0, 1, 2]
    actions = driver.start(10, tasks=3)
    assert runs(actions) == [10]
    assert released(actions) == [((11, 12), REASON.BUSY)]


def test_a_repeated_request_starts_nothing(driver):
    driver.start(0)
    assert runs(driver.start(0)) == []
    driver.end(0)
    assert runs(driver.start(0)) == []


@pytest.mark.parametrize(
    ("fields", "reason"),
    [
        ({"incarnation": "a0"}, REASON.INCARNATION),
        ({"memory_mb": 200}, REASON.BUSY),
        ({"ticket": "agent-1~a0~0"}, REASON.TICKET),
    ],
)
def test_what_it_may_not_start_is_released(fields, reason):
    driver = Driver(slots=4, memory_mb=100)
    actions = driver.start(0, **fields)
    assert runs(actions) == []
    assert released(actions) == [((0,), reason)]
    assert runs(driver.start(0)) == []


def test_a_leaving_agent_says_so_and_starts_nothing(driver):
    assert sent(driver.do(core.DrainRequested()), wire.Leaving)
    assert released(driver.start(0)) == [((0,), REASON.LEAVING)]


def test_results_are_held_together_until_the_last_or_a_failure(driver):
    driver.start(0, tasks=3, report_each=False)
    assert sent(driver.end(0), wire.TasksFinished) == []
    (done,) = sent(driver.end(1, ok=False), wire.TasksFinished)
    assert [task.seq for task in done.tasks] == [0, 1]
    (last,) = sent(driver.end(2), wire.TasksFinished)
    assert [task.seq for task in last.tasks] == [2]


def test_results_come_one_by_one_once_they_are_called_for(driver):
    driver.start(0, tasks=3, report_each=False)
    driver.end(0)
    (done,) = sent(driver.say(wire.ReportNow()), wire.TasksFinished)
    assert [task.seq for task in done.tasks] == [0]
    assert len(sent(driver.end(1), wire.TasksFinished)) == 1


def test_a_task_that_never_reached_the_endpoint_is_released(driver):
    driver.start(0)
    actions = driver.end(0, ok=False, started=False)
    assert released(actions) == [((0,), REASON.UNREACHABLE)]
    assert runs(driver.start(0)) == []


def test_a_cancel_before_its_task_leaves_it_unstarted(driver):
    actions = driver.say(wire.CancelTasks("f.7", (7,)))
    assert released(actions) == [((7,), REASON.CANCELLED)]
    assert runs(driver.start(7)) == []


def test_after_a_broken_stream_it_says_what_became_of_tasks(driver):
    driver.start(0)
    driver.start(1)
    driver.do(core.PeerDown("e", "e1"))
    driver.end(0)
    hello = wire.Hello(wire.Role.ENTRY, "e", "e1", "north")
    driver.do(core.PeerUp(hello))
    actions = driver.say(wire.Reconcile((0, 1, 2), ("f.0", "f.1", "f.2")))
    (done,) = sent(actions, wire.TasksFinished)
    assert [task.seq for task in done.tasks] == [0]
    assert released(actions) == [((2,), REASON.UNSEEN)]


def test_a_newer_configuration_is_acknowledged_at_once(driver):
    (told,) = sent(driver.say(wire.KeepAlive(7)), wire.KeepAlive)
    assert told.config_version == 7
    assert sent(driver.say(wire.KeepAlive(7)), wire.KeepAlive) == []


def test_a_ticket_runs_one_submission_and_keeps_its_answer(driver):
    (minted,) = sent(driver.say(wire.TicketRequest(1)), wire.Tickets)
    (ticket,) = minted.tickets
    assert runs(driver.start(0, ticket=ticket, label="digest")) == [0]
    (verdict,) = sent(
        driver.say(wire.Authorise(ticket, "g.1", "digest")), wire.Verdict
    )
    assert verdict.verdict is wire.VerdictTag.IN_PROGRESS
    driver.end(0)
    (verdict,) = sent(
        driver.say(wire.Authorise(ticket, "g.1", "digest")), wire.Verdict
    )
    assert verdict.outcome.results == (b"1",)


def test_a_lost_schedulers_tickets_are_settled_after_a_while(driver):
    (minted,) = sent(driver.say(wire.TicketRequest(1)), wire.Tickets)
    (ticket,) = minted.tickets
    driver.say(wire.Authorise(ticket, "f.1", "digest"))
    driver.do(core.PeerDown("e", "e1"))
    driver.now += 10.0
    driver.do(core.PeerUp(wire.Hello(wire.Role.ENTRY, "n", "n1", "north")))
    driver.agent.receive(
        driver.now,
        core.Received("n", wire.Authorise(ticket, "n.1", "digest")),
    )
    (verdict,) = sent(driver.agent.tick(driver.now), wire.Verdict)
    driver.now += 2.0
    driver.do()
    driver.agent.receive(
        driver.now,
        core.Received("n", wire.Authorise(ticket, "n.1", "digest")),
    )
    (verdict,) = sent(driver.agent.tick(driver.now), wire.Verdict)
    assert verdict.outcome.tag == "failed_may_have_run"
