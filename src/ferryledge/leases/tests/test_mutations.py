"""Mutation tests: the scenarios detect when a mechanism is missing.

Each mechanism is disabled alone, in a scenario that passes with it.
"""

from collections import abc
import dataclasses
import typing

import pytest

from ferryledge import health
from ferryledge import leases
from ferryledge.leases import _acceptance
from ferryledge.leases import _config_exchange
from ferryledge.leases import _cordons
from ferryledge.leases import _crashes
from ferryledge.leases import _endpoint
from ferryledge.leases import _endpoint_watch
from ferryledge.leases import _incarnations
from ferryledge.leases import _lease_guard
from ferryledge.leases import _owners
from ferryledge.leases import _runs
from ferryledge.leases import _stream_watch
from ferryledge.leases import _timing
from ferryledge.leases.tests import faults
from ferryledge import loads as worlds
from ferryledge import outcomes
from ferryledge import wire

_PLENTY = wire.Resources(10**9, 10**9, 10**9)
_JOB = "a" * 16
#: Without the detection of duplicates, which would hide that runs of a lost
#: entry go on: agents refuse the repetition of their jobs.
NO_DETECTION = leases.EntryRules(detects_duplicates=False)


def _late_orders() -> worlds.World:
    strike = faults.FAULTS["orders lost or late"]
    return faults.play(strike, faults.STEPS["start"], 100)


def _agents_killed() -> worlds.World:
    strike = faults.FAULTS["agent killed"]
    return faults.play(strike, faults.STEPS["start"], 100)


def _entry_lost_and_its_job_repeated() -> worlds.World:
    world = worlds.World(seed=5, rules=NO_DETECTION)
    world.run(2.0)
    # The job fills one endpoint, so its repetition runs on another.
    world.submit("entry-0", _JOB, count=8, work_s=3.0)
    world.run(0.2)
    world.kill("entry-0", down_s=6.0)
    world.run(faults.REPEAT_S)
    world.submit("entry-1", _JOB, count=8, work_s=3.0)
    world.run(8.0)
    return world


def _stops_lost_and_the_job_repeated() -> worlds.World:
    world = worlds.World(seed=5)
    world.run(2.0)
    world.submit("entry-0", _JOB, count=8, work_s=3.0)
    world.run(0.2)
    world.lost_stops.update(world.agents)
    world.kill("entry-0", down_s=6.0)
    world.run(faults.REPEAT_S)
    world.submit("entry-1", _JOB, count=8, work_s=3.0)
    world.run(8.0)
    return world


def _agents_restarted_and_the_job_repeated() -> worlds.World:
    world = worlds.World(seed=5)
    world.run(2.0)
    # The job fills one endpoint, so its repetition runs on another.
    world.submit("entry-0", _JOB, count=8, work_s=3.0)
    world.run(0.2)
    world.lost_stops.update(world.agents)
    for name in world.agents:
        world.kill(name, 0.5)
    world.kill("entry-0", down_s=6.0)
    world.run(faults.REPEAT_S)
    world.submit("entry-1", _JOB, count=8, work_s=3.0)
    world.run(8.0)
    return world


def _late_heartbeat_during_a_run() -> worlds.World:
    world = worlds.World(seed=5)
    world.run(2.0)
    old = world.report_of("agent-0", 10**6)
    world.crash_endpoint("agent-0", 0.2)
    world.run(2.0)
    world.submit("entry-0", _JOB, count=20, work_s=0.5)
    world.run(0.1)
    world.post("agent-0", old)
    world.run(4.0)
    return world


def _agent_restarted_while_its_entry_is_down() -> worlds.World:
    world = worlds.World(seed=5, agents=1)
    world.run(2.0)
    world.submit("entry-0", _JOB, count=8, work_s=3.0)
    world.run(0.2)
    world.kill("entry-0", down_s=6.0)
    world.kill("agent-0")
    world.run(0.4)
    world.submit("entry-1", "b" * 16, count=8, work_s=0.5)
    world.run(8.0)
    return world


def _silent_streams(work_s: float) -> worlds.World:
    """Make all streams silent 0.4 s after the start of a task."""
    world = worlds.World(seed=3, entries=1, agents=1)
    world.run(2.0)
    world.submit("entry-0", _JOB, count=1, work_s=work_s)
    world.run(0.4)
    world.silence_all_streams()
    world.run(5.0)
    if world.started[_JOB] > 1:
        world.violations.append("started again although it was sound")
    return world


def _silent_streams_at_an_end() -> worlds.World:
    return _silent_streams(work_s=0.4)


def _silent_streams_during_a_run() -> worlds.World:
    return _silent_streams(work_s=2.0)


def _busy_endpoint() -> worlds.World:
    """Return a world whose only endpoint has ended 24 runs."""
    world = worlds.World(seed=5, agents=1)
    world.run(4.0)
    for number in range(6):
        world.submit("entry-0", f"{number:016x}", 4, 0.05)
        world.run(0.3)
    return world


def _endpoint_restarted(down_s: float = 1.0) -> worlds.World:
    """Return a world whose only endpoint restarted under the same id."""
    world = _busy_endpoint()
    world.crash_endpoint("agent-0", down_s, same_id=True)
    world.run(down_s + 1.0)
    return world


def _restarted_then_draining() -> worlds.World:
    world = _endpoint_restarted()
    world.endpoints["agent-0"].draining = True
    world.heartbeat("agent-0")
    world.run(0.6)
    world.submit("entry-0", _JOB)
    world.run(1.0)
    return world


def _run_a_job_once(world: worlds.World) -> worlds.World:
    """Submit a job; record a violation if its tasks start again."""
    world.submit("entry-0", _JOB, count=4, work_s=0.05)
    world.run(1.0)
    if world.started[_JOB] != 4:
        world.violations.append("started again although it was done")
    return world


def _jobs_after_a_restart_at_an_end() -> worlds.World:
    """Restart the endpoint before the agent acknowledges an end."""
    world = _busy_endpoint()
    world.submit("entry-0", "b" * 16, 1, 0.05)
    faults.run_until_end_is_listed(world, "agent-0")
    world.crash_endpoint("agent-0", 0.2, same_id=True)
    world.run(1.2)
    return _run_a_job_once(world)


def _jobs_after_an_unnoticed_restart() -> worlds.World:
    return _run_a_job_once(_endpoint_restarted(down_s=0.0))


def _restarted_before_a_start_call() -> worlds.World:
    world = worlds.World(seed=5, agents=2)
    world.run(2.0)
    world.submit("entry-0", _JOB, count=4, work_s=0.5)
    # The agent has sent the start calls, which arrive after the restart.
    world.run(worlds.HOP_S + worlds.CALL_S / 2.0)
    world.crash_endpoint("agent-0", 0.0, same_id=True)
    world.run(3.0)
    return world


def _agent_after_an_endpoint_restarted() -> worlds.World:
    world = _endpoint_restarted()
    world.crash_endpoint("agent-0", 1.0, same_id=True)
    world.run(2.0)
    world.kill("agent-0")
    world.run(2.0)
    token = world.submit("entry-0", _JOB)
    world.run(1.0)
    if not isinstance(world.outcome(token), outcomes.Complete):
        world.violations.append("not served")
    return world


def _late_state_of_cordons() -> worlds.World:
    """Deliver an outdated state of the cordons after the current one."""
    world = worlds.World(seed=4, entries=1, agents=2)
    world.run(2.0)
    late = world.cordons
    world.set_cordons("north")
    world.run(worlds.CORDON_S)
    world.post("entry-0", leases.CordonsRead(late))
    for name in world.agents:
        world.post(name, wire.Received("entry-0", late))
    world.submit("entry-0", _JOB)
    world.run(1.0)
    return world


def _late_configurations() -> worlds.World:
    world = worlds.World(seed=4, entries=1, agents=1)
    world.run(2.0)
    faults.late_configs(world)
    world.run(1.0)
    return world


def _deadly_job() -> worlds.World:
    """Run a task that crashes each endpoint on which it starts."""
    world = worlds.World(seed=6, entries=2, agents=6)
    world.run(3.0)
    world.crashing_jobs.add(_JOB)
    world.submit("entry-0", _JOB, 1, work_s=1.0, deadline_s=30.0)
    world.run(30.0)
    return world


@dataclasses.dataclass(frozen=True, slots=True)
class Mutation:
    """A replacement that disables a mechanism, and the scenario for it."""

    target: object
    attribute: str
    replacement: object
    scenario: abc.Callable[[], worlds.World]


def _many_fail() -> worlds.World:
    """Let six of ten endpoints fail all their runs."""
    world = worlds.World(seed=3, entries=2, agents=10)
    world.run(3.0)
    world.failing |= {f"endpoint-of-agent-{n}" for n in range(6)}
    for number in range(100):
        name = f"{number:016x}"
        world.submit(f"entry-{number % 2}", name, 10, 0.1, 800)
        world.run(0.03)
        for entry in world.entries:
            pool = world.nodes[entry].core.pool
            out = sum(not row.healthy for row in pool)
            if out > 10 * health.HealthOptions().max_ejected:
                world.violations.append(f"{out} of 10 out at {entry}")
    return world


def _accept_any_heartbeat(
    link: _endpoint.EndpointLink,
    heartbeat: leases.EndpointHeartbeat,
    now: float,
) -> _endpoint.IncarnationChange:
    """Treat any other incarnation as the successor."""
    if link.incarnation == heartbeat.incarnation:
        return _endpoint.IncarnationChange.NONE
    return link._accept(heartbeat, now)


def _do_nothing(*_: typing.Any) -> None:
    """Replace a disabled mechanism."""


_may_go_on = _lease_guard.LeaseGuard._may_go_on


def _go_on_if_unclaimed(
    guard: _lease_guard.LeaseGuard, row: _runs.RunRow, at: float
) -> bool:
    return not row.owner or _may_go_on(guard, row, at)


def _return_true(*_: typing.Any) -> bool:
    return True


def _raise_token_by_one(
    link: _endpoint.EndpointLink, clock_ms: int, now: float
) -> None:
    """Raise the fencing token as if the seen one were below the clock."""
    link.note_clock(clock_ms, now)
    link._token = max(link._token + 1, link.clock_ms(now))


_LEARN = _config_exchange.ConfigExchange.learn


def _learn_any(
    exchange: _config_exchange.ConfigExchange, *read: typing.Any
) -> bool:
    """Accept any configuration, as if there had been none before."""
    exchange._version = 0
    return _LEARN(exchange, *read)


_INIT_ACCEPTANCE = _acceptance.Acceptance.__init__


def _ignore_cordons(
    acceptance: _acceptance.Acceptance, *args: typing.Any
) -> None:
    """Accept orders as if no zone were cordoned."""
    link, runs, owners, _, zone = args
    _INIT_ACCEPTANCE(acceptance, link, runs, owners, _cordons.Cordons(), zone)


MUTATIONS = {
    "unlimited ejection of endpoints": Mutation(
        health.HealthTracker,
        "_may_eject",
        _return_true,
        _many_fail,
    ),
    "configurations may go back to an older version": Mutation(
        _config_exchange.ConfigExchange,
        "learn",
        _learn_any,
        _late_configurations,
    ),
    "the digest of a configuration isn't checked": Mutation(
        _config_exchange,
        "digest_of",
        lambda data: b"any",
        _late_configurations,
    ),
    "deadly tasks are not detected": Mutation(
        _crashes.CrashWatch,
        "is_deadly",
        lambda *_: False,
        _deadly_job,
    ),
    "agents ignore cordons": Mutation(
        _acceptance.Acceptance,
        "__init__",
        _ignore_cordons,
        faults.play_stale_entry,
    ),
    "outdated states of cordons are accepted": Mutation(
        _cordons,
        "_is_newer",
        _return_true,
        _late_state_of_cordons,
    ),
    "capacity is not accounted for": Mutation(
        _acceptance.Acceptance,
        "free",
        property(lambda _: _PLENTY),
        _late_orders,
    ),
    "runs count as ended as soon as a stream breaks": Mutation(
        _timing.LeaseTiming,
        "over_after_s",
        property(lambda _: 0.0),
        _agents_killed,
    ),
    "grants never expire": Mutation(
        _owners.OwnerTable,
        "has_grant",
        _return_true,
        _entry_lost_and_its_job_repeated,
    ),
    "the lease is extended for any run": Mutation(
        _lease_guard.LeaseGuard,
        "may_extend",
        _return_true,
        _stops_lost_and_the_job_repeated,
    ),
    "unclaimed runs keep the lease": Mutation(
        _lease_guard.LeaseGuard,
        "_may_go_on",
        _go_on_if_unclaimed,
        _agents_restarted_and_the_job_repeated,
    ),
    "any heartbeat is accepted": Mutation(
        _endpoint.EndpointLink,
        "receive_heartbeat",
        _accept_any_heartbeat,
        _late_heartbeat_during_a_run,
    ),
    "incarnations are distinguished by the id alone": Mutation(
        _incarnations,
        "incarnation_of",
        lambda endpoint_id, _: endpoint_id,
        _restarted_then_draining,
    ),
    "ends are acknowledged to any incarnation": Mutation(
        _endpoint.EndpointLink,
        "failed",
        _do_nothing,
        _jobs_after_a_restart_at_an_end,
    ),
    "ends are acknowledged that the last answer did not list": Mutation(
        _endpoint.EndpointLink,
        "_acknowledgement",
        lambda link: link.acknowledged,
        _jobs_after_an_unnoticed_restart,
    ),
    "unlisted runs are not stopped after a restart": Mutation(
        _endpoint_watch.EndpointWatch,
        "_lose_listed",
        lambda watch, now: watch._lose_all(now),
        _restarted_before_a_start_call,
    ),
    "fencing tokens are never above the clock": Mutation(
        _endpoint.EndpointLink,
        "raise_token",
        _raise_token_by_one,
        _agent_after_an_endpoint_restarted,
    ),
    "unknown runs are not adopted": Mutation(
        _endpoint_watch.EndpointWatch,
        "_adopt",
        _do_nothing,
        _agent_restarted_while_its_entry_is_down,
    ),
    "ends are reported once": Mutation(
        _owners.OwnerTable,
        "ends_to_resend",
        lambda *_: [],
        _silent_streams_at_an_end,
    ),
    "silent streams are not replaced": Mutation(
        _stream_watch.StreamWatch,
        "reopen_silent",
        lambda *_: [],
        _silent_streams_during_a_run,
    ),
}


@pytest.mark.parametrize("name", MUTATIONS)
def test_scenario_passes_with_the_mechanism(name: str) -> None:
    assert not MUTATIONS[name].scenario().violations


@pytest.mark.parametrize("name", MUTATIONS)
def test_scenario_fails_without_the_mechanism(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    mutation = MUTATIONS[name]
    monkeypatch.setattr(
        mutation.target, mutation.attribute, mutation.replacement
    )
    assert mutation.scenario().violations
