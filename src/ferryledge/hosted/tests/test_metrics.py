"""Tests the rendering of a process's metrics."""

from ferryledge.hosted import _metrics


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
