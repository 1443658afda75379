"""Tests of the entry core, driven by events without a network."""

import random

import pytest

from ferryledge import configlog
from ferryledge import core
from ferryledge import outcomes
from ferryledge import wire

ENTITIES = (
    configlog.Service("s"),
    configlog.Service("big", memory_mb=900),
    configlog.Service("once", repeatable=False),
    configlog.Policy("north-only", where="zone == 'north'"),
    configlog.Service("northern", policy="north-only"),
    configlog.Place("southern", ("south",)),
    configlog.Workspace("t"),
    configlog.Workspace("small", quota_slots=2),
    configlog.Workspace("other"),
)


class Driver:
    """Passes events to an entry core and returns its actions."""

    def __init__(self, **options):
        self.now = 0.0
        self.token = 0
        self.entry = core.EntryCore(
            core.Identity("entry-1", "e1", "north"),
            core.EntryOptions(**options),
            random.Random(1),
        )

    def do(self, *events):
        for event in events:
            self.entry.receive(self.now, event)
        return self.entry.tick(self.now)

    def configure(self):
        return self.do(core.ConfigChanged(configlog.Snapshot(1, 1, ENTITIES)))

    def agent_up(self, name, zone="north", slots=2, memory_mb=1000):
        return self.do(
            core.PeerUp(
                wire.Hello(
                    wire.Role.AGENT, name, "a", zone, slots, 64, memory_mb
                )
            )
        )

    def submit(self, tasks=1, service="s", workspace="t", **fields):
        self.token += 1
        task_requests = (core.TaskRequest(b"1"),) * tasks
        request = core.JobRequest(
            f"r{self.token}", workspace, service, task_requests, **fields
        )
        return self.do(core.ClientSubmitted(self.token, request))

    def send(self, peer, message):
        return self.do(core.Received(peer, message))

    def finish(self, agent, start, ok=True):
        ends = tuple(
            wire.FinishedTask(start.first_seq + n, index, ok, b"1", 0.1)
            for n, index in enumerate(start.indices)
        )
        return self.send(agent, wire.TasksFinished(start.submission, ends))


def starts(actions):
    return [
        (action.peer, action.message)
        for action in actions
        if isinstance(action, core.Send)
        and isinstance(action.message, wire.StartTasks)
    ]


def answers(actions):
    return [
        action.answer.outcome
        for action in actions
        if isinstance(action, core.AnswerClient)
    ]


@pytest.fixture
def driver():
    configured = Driver()
    configured.configure()
    return configured


def test_job_without_configuration_is_refused():
    (outcome,) = answers(Driver().submit())
    assert outcome.reason is outcomes.Reason.NO_CONFIGURATION
    assert outcome.retry_after_s > 0


@pytest.mark.parametrize(
    ("job", "reason"),
    [
        ({"service": "none"}, outcomes.Reason.UNKNOWN_SERVICE),
        ({"workspace": "none"}, outcomes.Reason.UNKNOWN_WORKSPACE),
        ({"service": "big"}, outcomes.Reason.IMPOSSIBLE),
        ({"places": ("none",)}, outcomes.Reason.IMPOSSIBLE),
        ({"places": ("southern",)}, outcomes.Reason.IMPOSSIBLE),
    ],
)
def test_impossible_job_is_refused_without_retry(driver, job, reason):
    driver.agent_up("agent-1", memory_mb=500)
    (outcome,) = answers(driver.submit(**job))
    assert (outcome.reason, outcome.retry_after_s) == (reason, 0.0)


def test_job_is_answered_once_with_all_results(driver):
    driver.agent_up("agent-1")
    driver.agent_up("agent-2")
    placed = starts(driver.submit(tasks=4))
    assert sorted(len(start.indices) for _, start in placed) == [2, 2]
    first, second = placed
    assert answers(driver.finish(*first)) == []
    assert answers(driver.finish(*second)) == [outcomes.Complete((b"1",) * 4)]
    assert answers(driver.finish(*second)) == []


def test_policies_and_places_restrict_zones(driver):
    driver.agent_up("agent-1", zone="south", slots=8)
    driver.agent_up("agent-2", zone="north")
    assert starts(driver.submit(service="northern"))[0][0] == "agent-2"
    placed = starts(driver.submit(places=("southern",)))
    assert placed[0][0] == "agent-1"


@pytest.fixture
def cordoned(driver):
    """Return a driver with one agent, in a cordoned zone."""
    driver.agent_up("agent-s", "south")
    entities = (*ENTITIES, configlog.Cordon("south"))
    driver.do(core.ConfigChanged(configlog.Snapshot(2, 2, entities)))
    return driver


def test_no_task_starts_in_a_cordoned_zone(cordoned):
    cordoned.agent_up("agent-t", "south")
    cordoned.agent_up("agent-n", "north")
    placed = [start for _ in range(4) for start in starts(cordoned.submit())]
    assert {agent for agent, _ in placed} == {"agent-n"}


def test_job_restricted_to_a_cordoned_zone_is_refused(cordoned):
    cordoned.agent_up("agent-n", "north")
    (outcome,) = answers(cordoned.submit(places=("southern",)))
    assert outcome.reason is outcomes.Reason.NO_ENDPOINT
    assert outcome.retry_after_s > 0.0


def test_uncordoned_zone_is_used_at_once(cordoned):
    cordoned.do(core.ConfigChanged(configlog.Snapshot(3, 3, ENTITIES)))
    placed = starts(cordoned.submit(places=("southern",)))
    assert [agent for agent, _ in placed] == ["agent-s"]


def test_quota_limits_the_running_tasks_of_a_workspace(driver):
    driver.agent_up("agent-1", slots=8)
    ((peer, start),) = starts(driver.submit(tasks=5, workspace="small"))
    assert len(start.indices) == 2
    ((_, next_start),) = starts(driver.finish(peer, start))
    assert len(next_start.indices) == 2


def test_workspace_over_its_share_waits_behind_others(driver):
    driver.agent_up("agent-1", slots=8)
    driver.submit(tasks=1, workspace="other")
    driver.submit(tasks=7, workspace="t")
    driver.submit(tasks=2, workspace="t")
    driver.submit(tasks=2, workspace="other")
    row = driver.entry.scheduler.table.find("agent-1")
    binding = [bound for bound in row.bound.values() if bound.index == 0][1]
    ended = wire.FinishedTask(binding.seq, 0, True, b"1", 0.1)
    freed = driver.send(
        "agent-1", wire.TasksFinished(binding.submission, (ended,))
    )
    assert [start.label for _, start in starts(freed)] == ["r4"]


def test_full_queue_refuses_with_a_retry_delay():
    driver = Driver(max_waiting_tasks=3)
    driver.configure()
    driver.agent_up("agent-1")
    driver.submit(tasks=3)
    (outcome,) = answers(driver.submit(tasks=3))
    assert outcome.reason is outcomes.Reason.QUEUE_FULL
    assert outcome.retry_after_s > 0


def test_guards_refuse_a_job_that_would_miss_its_deadline():
    driver = Driver(guards=True)
    driver.configure()
    driver.agent_up("agent-1")
    driver.submit(tasks=40)
    (outcome,) = answers(driver.submit(tasks=30, deadline_s=0.5))
    assert outcome.reason is outcomes.Reason.DEADLINE


def test_retry_delays_of_refused_jobs_differ():
    driver = Driver(max_waiting_tasks=1)
    driver.configure()
    driver.agent_up("agent-1")
    delays = {
        answers(driver.submit(tasks=50))[0].retry_after_s for _ in range(20)
    }
    assert len(delays) == 20


def test_probe_uses_only_agents_that_the_front_can_reach(driver):
    """Otherwise a lost scheduler's probe could not be recovered."""
    front = wire.Hello(wire.Role.ENTRY, "entry-2", "f", "north")
    driver.do(core.PeerUp(front))
    driver.agent_up("agent-1", slots=1)
    driver.agent_up("agent-2", slots=1)
    driver.agent_up("agent-3", slots=1)
    number = 0

    def place():
        nonlocal number
        number += 1
        job = wire.PlaceJob(f"f.{number}", "t", "s", (wire.PlacedTask(b"1"),))
        return starts(driver.send("entry-2", job))

    driver.send("entry-2", wire.AgentSet(("agent-2/a",)))
    while placed := place():
        driver.finish("agent-2", placed[0][1], ok=False)
    row = driver.entry.scheduler.table.find("agent-2")
    assert row.ejected
    moved = driver.send("entry-2", wire.AgentSet(("agent-1/a",)))
    assert [peer for peer, _ in starts(moved)] == ["agent-1"]
    assert place() == []
    driver.now += 2.0
    assert starts(driver.do()) == []


def test_unrepeatable_job_runs_at_the_issuer_of_its_ticket(driver):
    driver.agent_up("agent-1")
    driver.send("agent-1", wire.Tickets(("agent-1~a~0",)))
    (outcome,) = answers(driver.submit(service="once"))
    assert outcome == outcomes.TicketRequired("agent-1~a~0")
    ((peer, start),) = starts(
        driver.submit(service="once", ticket=outcome.ticket)
    )
    assert (peer, start.ticket) == ("agent-1", outcome.ticket)


def test_job_with_a_ticket_of_an_unknown_agent_never_runs(driver):
    driver.agent_up("agent-1")
    actions = driver.submit(service="once", ticket="gone~x~1")
    assert starts(actions) == []
    assert isinstance(answers(actions)[0], outcomes.FailedMayHaveRun)


def placed_jobs(actions):
    return [
        action.message
        for action in actions
        if isinstance(action, core.Send)
        and isinstance(action.message, wire.PlaceJob)
    ]


def test_repeated_report_on_a_fence_is_ignored_for_the_next():
    """A reconnecting stream can deliver an agent's fence report twice."""
    driver = Driver(direct_load=0.0)
    driver.configure()
    driver.agent_up("agent-1")
    hellos = [
        wire.Hello(wire.Role.ENTRY, f"entry-{n}", f"i{n}", "north")
        for n in range(2, 9)
    ]
    driver.do(*(core.PeerUp(hello) for hello in hellos))
    (first,) = placed_jobs(driver.submit())
    hello = next(
        peer for peer in hellos if driver.entry.front.outstanding(peer.name)
    )
    scheduler = hello.name
    driver.do(core.PeerDown(scheduler, hello.incarnation))
    driver.do(core.PeerUp(hello))
    report = wire.FenceReport(hello.incarnation, through=1)
    (second,) = placed_jobs(driver.send("agent-1", report))
    assert second.submission != first.submission
    driver.do(core.PeerDown(scheduler, hello.incarnation))
    assert placed_jobs(driver.send("agent-1", report)) == []
    second_report = wire.FenceReport(hello.incarnation, through=2)
    actions = driver.send("agent-1", second_report)
    assert len(placed_jobs(actions)) + len(starts(actions)) == 1


def test_entry_confirms_that_an_agent_leaves():
    """Guards against an agent that ends while an order is on its way."""
    driver = Driver()
    driver.configure()
    driver.agent_up("agent-1")
    actions = driver.send("agent-1", wire.Leaving())
    assert core.Send("agent-1", wire.Leaving(confirms=True)) in actions


def _place_with_ticket(driver):
    """Place a job of another entry that waits for its ticket's arbiter."""
    driver.configure()
    driver.agent_up("agent-1", slots=1)
    driver.agent_up("agent-2", slots=2)
    hello = wire.Hello(wire.Role.ENTRY, "entry-2", "f", "north")
    driver.do(core.PeerUp(hello))
    tasks = (wire.PlacedTask(b"1"),) * 2
    job = wire.PlaceJob(
        "f.1", "t", "once", tasks, ticket="agent-1~a~0", repeatable=False
    )
    return driver.send("entry-2", job)


def settlements(actions):
    return [
        (action.peer, action.message.submission, action.message.outcome.reason)
        for action in actions
        if isinstance(action, core.Send)
        and isinstance(action.message, wire.Settle)
    ]


GRANTED = wire.Verdict("agent-1~a~0", "f.1", wire.VerdictTag.GRANTED)


def test_client_may_replace_a_ticket_whose_issuer_gave_no_verdict():
    """Guards against a ticket that is used just as its issuer stops."""
    driver = Driver()
    _place_with_ticket(driver)
    driver.do(core.PeerDown("agent-1", "a"))
    driver.now += 3.0
    actions = driver.do()
    assert starts(actions) == []
    (answered,) = [
        action.message.outcome
        for action in actions
        if isinstance(action, core.Send)
        and isinstance(action.message, wire.JobAnswered)
    ]
    assert answered.tag == "failed_may_have_run"
    assert (answered.reason, answered.step) == ("ticket_lost", "authorise")


def test_abandoned_job_settles_its_ticket():
    """Guards against an arbiter that waits for it and cannot stop."""
    driver = Driver()
    assert _place_with_ticket(driver)
    assert starts(driver.send("agent-1", GRANTED))
    actions = driver.send("entry-2", wire.AbandonJobs(1))
    assert settlements(actions) == [("agent-1", "f.1", "entry_lost")]


def test_verdict_on_an_abandoned_job_settles_its_ticket():
    """Guards against a permission that nobody uses and nobody returns."""
    driver = Driver()
    _place_with_ticket(driver)
    assert not settlements(driver.send("entry-2", wire.AbandonJobs(1)))
    actions = driver.send("agent-1", GRANTED)
    assert settlements(actions) == [("agent-1", "f.1", "entry_lost")]
    refused = wire.Verdict("agent-1~a~0", "f.1", wire.VerdictTag.LOST)
    assert not settlements(driver.send("agent-1", refused))
