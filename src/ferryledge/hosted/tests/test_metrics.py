"""Tests the rendering of a process's metrics."""

import random

from ferryledge.hosted import _metrics
from ferryledge import leases
from ferryledge import outcomes
from ferryledge import wire


def test_metrics_are_rendered_in_the_prometheus_format() -> None:
    registry = _metrics.Registry("agent")
    runs = registry.counter("runs", "Runs over", ("how",))
    unanswered = registry.counter("unanswered", "Orders")
    seconds = registry.histogram("seconds", "Time", (0.1, 1.0))
    registry.gauge("held", "Runs held", lambda: 3.0)
    runs.add(2, "done")
    runs.add(1, 'a "b"')
    for value in (0.05, 0.1, 0.5, 7.0):
        seconds.observe(value)
    assert unanswered.values == {(): 0.0}
    lines = registry.render().decode().splitlines()
    expected = [
        "# TYPE ferryledge_agent_runs_total counter",
        'ferryledge_agent_runs_total{how="done"} 2.0',
        'ferryledge_agent_runs_total{how="a \\"b\\""} 1.0',
        "ferryledge_agent_unanswered_total 0.0",
        "# TYPE ferryledge_agent_seconds histogram",
        'ferryledge_agent_seconds_bucket{le="0.1"} 2.0',
        'ferryledge_agent_seconds_bucket{le="1.0"} 3.0',
        'ferryledge_agent_seconds_bucket{le="+Inf"} 4.0',
        "ferryledge_agent_seconds_count 4.0",
        "ferryledge_agent_seconds_sum 7.65",
        "ferryledge_agent_held 3.0",
    ]
    assert [line for line in expected if line not in lines] == []


def test_runs_that_may_have_run_twice_are_counted() -> None:
    entry = _metrics.Registry("entry")
    entry_metrics = _metrics.EntryMetrics(entry)
    entry_metrics.run_outlived(True)
    entry_metrics.run_outlived(False)
    agent = _metrics.Registry("agent")
    agent_metrics = _metrics.AgentMetrics(agent)
    agent_metrics.adopted(3)
    agent_metrics.unclaimed_stopped(2)
    agent_metrics.stop_overdue()
    lines = (entry.render() + agent.render()).decode().splitlines()
    expected = [
        'ferryledge_entry_runs_outlived_total{proven="yes"} 1.0',
        'ferryledge_entry_runs_outlived_total{proven="no"} 1.0',
        "ferryledge_agent_adopted_runs_total 3.0",
        "ferryledge_agent_unclaimed_runs_stopped_total 2.0",
        "ferryledge_agent_stops_overdue_total 1.0",
    ]
    assert [line for line in expected if line not in lines] == []


def test_duplicates_and_resubmissions_are_counted() -> None:
    registry = _metrics.Registry("entry")
    metrics = _metrics.EntryMetrics(registry)
    core = leases.LeaseEntry(
        "entry-0", "entry-0.1", "north", random.Random(0), meter=metrics
    )
    agent = wire.Hello(wire.Role.AGENT, "agent-0", "agent-0.1", "north")
    peer = wire.Hello(
        wire.Role.ENTRY, "entry-1", "1", "north", detects_duplicates=True
    )
    job_class = leases.JobClass("quick", "desk")
    step = leases.JobStep(1, wire.Resources(100, 10, 0))
    core.receive(0.0, wire.PeerUp(agent))
    core.receive(0.0, wire.PeerUp(peer))
    state = wire.EndpointState(jobs_added=("a",))
    core.receive(0.0, wire.Received("agent-0", state))
    for number in range(20):
        job = leases.LeasedJob(f"{number}", job_class, "", (step,), 2.0)
        core.receive(0.0, leases.JobSubmitted(number + 1, job))
    job = leases.LeasedJob("a", job_class, "", (step,), 0.5)
    core.receive(0.0, leases.JobSubmitted(21, job))
    lines = registry.render().decode().splitlines()
    answers = "ferryledge_entry_answers_total"
    labels = 'outcome="failed_may_have_run",reason="duplicate"'
    assert f"{answers}{{{labels}}} 1.0" in lines
    assert "ferryledge_entry_resubmitted_jobs_total 1.0" in lines


def test_registrations_are_counted() -> None:
    registry = _metrics.Registry("entry")
    metrics = _metrics.EntryMetrics(registry)
    core = leases.LeaseEntry(
        "entry-0", "entry-0.1", "north", random.Random(0), meter=metrics
    )
    names = [f"entry-{number}" for number in range(6)]
    addresses = tuple(wire.EntryAddress(name, "host", 1) for name in names)
    core.receive(0.0, leases.EntriesFound(addresses))
    for name in names[1:]:
        hello = wire.Hello(
            wire.Role.ENTRY, name, "1", "north", registers_jobs=True
        )
        core.receive(0.0, wire.PeerUp(hello))
    for name, deadline_s in (("entry-1", 2.0), ("entry-2", 0.7)):
        jobs = wire.RegisterJobs((wire.SubmittedJob("a", deadline_s),))
        core.receive(0.0, wire.Received(name, jobs))
    agent = wire.Hello(wire.Role.AGENT, "agent-0", "agent-0.1", "north")
    core.receive(0.0, wire.PeerUp(agent))
    step = leases.JobStep(1, wire.Resources(100, 10, 0))
    job_class = leases.JobClass("quick", "desk")
    job = leases.LeasedJob("b", job_class, "", (step,), 2.0)
    core.receive(0.0, leases.JobSubmitted(1, job))
    core.tick(0.0)
    core.tick(0.07)
    lines = registry.render().decode().splitlines()
    assert "ferryledge_entry_superseded_jobs_total 1.0" in lines
    assert "ferryledge_entry_registrars_silent_total 2.0" in lines


def test_relayed_registrations_are_counted() -> None:
    registry = _metrics.Registry("entry")
    metrics = _metrics.EntryMetrics(registry)
    core = leases.LeaseEntry(
        "entry-0", "entry-0.1", "north", random.Random(0), meter=metrics
    )
    names = [f"entry-{number}" for number in range(6)]
    addresses = tuple(wire.EntryAddress(name, "host", 1) for name in names)
    core.receive(0.0, leases.EntriesFound(addresses))
    hello = wire.Hello(
        wire.Role.ENTRY,
        "entry-1",
        "1",
        "north",
        registers_jobs=True,
        relays_registrations=True,
    )
    core.receive(0.0, wire.PeerUp(hello))
    step = leases.JobStep(1, wire.Resources(100, 10, 0))
    job_class = leases.JobClass("quick", "desk")
    job = leases.LeasedJob("b", job_class, "", (step,), 2.0)
    core.receive(0.5, leases.JobSubmitted(1, job))
    core.tick(0.5)
    lines = registry.render().decode().splitlines()
    # One for each of the four other entries.
    assert "ferryledge_entry_relayed_registrations_total 4.0" in lines


def test_complete_jobs_that_come_again_are_counted() -> None:
    registry = _metrics.Registry("entry")
    metrics = _metrics.EntryMetrics(registry)
    core = leases.LeaseEntry(
        "entry-0", "1", "north", random.Random(1), meter=metrics
    )
    names = [f"entry-{n}" for n in range(6)]
    addresses = tuple(wire.EntryAddress(name, "", 1) for name in names)
    core.receive(0.0, leases.EntriesFound(addresses))
    hello = wire.Hello(
        wire.Role.ENTRY, "entry-1", "1", "north", registers_jobs=True
    )
    core.receive(0.0, wire.PeerUp(hello))
    agent = wire.Hello(wire.Role.AGENT, "agent-0", "agent-0.1", "north")
    core.receive(0.0, wire.PeerUp(agent))
    step = leases.JobStep(1, wire.Resources(100, 10, 0))
    job_class = leases.JobClass("quick", "desk")
    job = leases.LeasedJob("b", job_class, "", (step,), 2.0)
    core.receive(1.0, leases.JobSubmitted(1, job))
    core.tick(1.0)
    known = wire.RegisteredJob("b", "entry-1", is_complete=True)
    answer = wire.JobsRegistered((known,))
    core.receive(1.0, wire.Received("entry-1", answer))
    (answered,) = [
        action
        for action in core.tick(1.0)
        if isinstance(action, leases.AnswerJob)
    ]
    assert answered.token == 1
    assert answered.outcome == outcomes.Complete(())
    core.receive(1.1, leases.JobSubmitted(2, job))
    lines = registry.render().decode().splitlines()
    assert "ferryledge_entry_already_complete_jobs_total 2.0" in lines
