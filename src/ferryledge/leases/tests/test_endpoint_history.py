"""Endpoints that can't be trusted, known by all entries."""

from collections import abc
import dataclasses
import functools

import pytest

from ferryledge import leases
from ferryledge.leases import _endpoint_history
from ferryledge.leases import _pool
from ferryledge.leases import _quarantine
from ferryledge import loads as worlds
from ferryledge import outcomes
from ferryledge import wire

_NORTH, _SOUTH = "north", "south"


def _fail(
    failure_rates: _endpoint_history.ZoneFailureRates, zone: str, count: int
) -> None:
    for number in range(count):
        failure_rates.note_end(1.0, zone, f"{zone}{number}", False)


def _rate(
    failure_rates: _endpoint_history.ZoneFailureRates,
    zone: str,
    now: float = 1.1,
) -> float:
    return _endpoint_history.failures_for_zone(
        failure_rates.zone_failures(now), zone
    ).rate


@pytest.fixture
def failure_rates() -> _endpoint_history.ZoneFailureRates:
    """Return what an agent knows after a few good ends for each zone."""
    made = _endpoint_history.ZoneFailureRates()
    for zone in (_NORTH, _SOUTH):
        made.note_end(0.5, zone, "a", True)
    return made


def test_failures_of_distinct_jobs_are_told(
    failure_rates: _endpoint_history.ZoneFailureRates,
) -> None:
    _fail(failure_rates, _NORTH, 3)
    assert _rate(failure_rates, _NORTH) >= 0.45


def test_one_job_that_fails_speaks_once(
    failure_rates: _endpoint_history.ZoneFailureRates,
) -> None:
    for _ in range(9):
        failure_rates.note_end(1.0, _NORTH, "poison", False)
    assert not failure_rates.zone_failures(1.1)


def test_failures_for_one_zone_say_nothing_of_others(
    failure_rates: _endpoint_history.ZoneFailureRates,
) -> None:
    _fail(failure_rates, _NORTH, 9)
    assert not _rate(failure_rates, _SOUTH)


def test_failures_for_all_zones_speak_for_one_that_is_unknown(
    failure_rates: _endpoint_history.ZoneFailureRates,
) -> None:
    _fail(failure_rates, _NORTH, 9)
    _fail(failure_rates, _SOUTH, 9)
    assert _rate(failure_rates, "east") >= 0.45


def test_evidence_expires(
    failure_rates: _endpoint_history.ZoneFailureRates,
) -> None:
    _fail(failure_rates, _NORTH, 9)
    assert _rate(failure_rates, _NORTH)
    assert not _rate(failure_rates, _NORTH, 60.0)


def test_failures_count_on_over_a_restart(
    failure_rates: _endpoint_history.ZoneFailureRates,
) -> None:
    _fail(failure_rates, _NORTH, 4)
    before = _endpoint_history.failures_for_zone(
        failure_rates.zone_failures(1.1), _NORTH
    ).failures
    failure_rates.forget()
    assert not failure_rates.zone_failures(1.4)
    _fail(failure_rates, _NORTH, 4)
    assert (
        _endpoint_history.failures_for_zone(
            failure_rates.zone_failures(1.7), _NORTH
        ).failures
        > before
    )


def test_agent_of_an_earlier_release_tells_nothing() -> None:
    old = wire.EndpointState("i-1", "desk")
    assert not _endpoint_history.failures_for_zone(old.failing, _NORTH).rate
    assert old.steady == 1.0


def _go_down(outages: _endpoint_history.Outages, *times: float) -> None:
    for at in times:
        outages.note_down(at)
        outages.note_up(at + 0.5)


def test_one_outage_costs_nothing() -> None:
    outages = _endpoint_history.Outages()
    _go_down(outages, 1.0)
    assert outages.steady(1.5) == 1.0


def test_flapping_endpoint_gets_more_as_it_holds() -> None:
    outages = _endpoint_history.Outages()
    _go_down(outages, 1.0, 2.0, 3.0)
    shares = [outages.steady(3.5 + n * 0.25) for n in range(5)]
    assert shares == [0.0, 0.25, 0.5, 0.75, 1.0]
    assert outages.due_at(3.6) == 3.75


def test_the_more_outages_the_longer_it_must_hold() -> None:
    outages = _endpoint_history.Outages()
    _go_down(outages, 1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 7.0)
    assert outages.steady(8.5) < 0.5
    assert outages.steady(11.5) == 1.0


def test_broken_connection_is_no_outage() -> None:
    outages = _endpoint_history.Outages()
    for at in (1.0, 2.0, 3.0):
        outages.note_down(at)
        assert outages.note_up(at + 0.03) is None
    assert outages.steady(3.03) == 1.0


def _rows(count: int, shaky: int) -> list[_pool.AgentRow]:
    rows = []
    for number in range(count):
        row = _pool.AgentRow(f"agent-{number}", "1")
        steady = 0.25 if number < shaky else 1.0
        row.state = wire.EndpointState(
            capacity=worlds.ROOM,
            free=worlds.ROOM,
            accepting=True,
            steady=steady,
        )
        rows.append(row)
    return rows


def test_shaky_endpoint_is_used_in_part() -> None:
    (row, *_) = rows = _rows(9, 1)
    assert _quarantine.usable_shares(rows) == {"agent-0": 0.25}
    room = _quarantine.usable_room(row, 0.25, 5)
    assert room.free.cpu_millis == worlds.ROOM.cpu_millis // 4
    assert _quarantine.usable_room(row, 0.0, 5).tasks == 1


def test_no_more_than_a_third_of_the_cores_is_held_back() -> None:
    rows = _rows(9, 9)
    assert 0 < len(_quarantine.usable_shares(rows)) * 0.75 <= 9 * 0.34
    for row in rows[:3]:
        row.healthy = False
    assert not _quarantine.usable_shares(rows)


_BAD = ("agent-0", "agent-1", "agent-2")
_COUNT = 300
_QUICK = leases.JobClass("quick", "desk", 0, 2, 1.6, 0.06)


def _fail_all(world: worlds.World) -> None:
    world.failing |= {f"endpoint-of-{agent}" for agent in _BAD}


def _fail_south(world: worlds.World) -> None:
    for agent in _BAD:
        world.failing_for[f"endpoint-of-{agent}"] = _SOUTH


def _flap(world: worlds.World) -> None:
    """Let endpoints be down for 0.7 s of each 1.4 s, not all at once."""
    for number, agent in enumerate(_BAD):
        for turn in range(6):
            at = 0.4 * number + 1.4 * turn
            world.at(at, functools.partial(world.crash_endpoint, agent, 0.7))


def _play(
    strike: abc.Callable[[worlds.World], None], rules: leases.EntryRules
) -> tuple[float, int]:
    """Play half of what the pool can do while a third is not to be trusted.

    :return: the share of jobs that was served, and runs without a result
    """
    world = worlds.World(3, 8, 10, rules=rules, entry_zones=(_NORTH, _SOUTH))
    world.run(3.0)
    strike(world)
    tokens = []
    for number in range(_COUNT):
        entry = world.entries[number % 8]
        name = f"{number:016x}"
        tokens.append(world.submit(entry, name, 4, 0.2, 800, job_class=_QUICK))
        world.run(0.016)
    world.run(5.0)
    assert not world.violations
    served = sum(
        isinstance(world.outcome(token), outcomes.Complete) for token in tokens
    )
    return served / _COUNT, sum(world.started.values()) - 4 * _COUNT


@pytest.mark.parametrize(
    ("strike", "rule"),
    [(_fail_all, "shared_evidence"), (_flap, "damped_flaps")],
)
def test_three_of_ten_endpoints_cost_few_runs(
    strike: abc.Callable[[worlds.World], None], rule: str
) -> None:
    """Each entry found out by itself, by losing runs of its own jobs."""
    served, lost = _play(strike, leases.EntryRules())
    assert served >= 0.99
    without = dataclasses.replace(leases.EntryRules(), **{rule: False})
    _, lost_without = _play(strike, without)
    assert lost < 0.8 * lost_without


def test_three_of_ten_endpoints_that_fail_one_zone_cost_few_runs() -> None:
    served, lost = _play(_fail_south, leases.EntryRules())
    assert served >= 0.99
    assert lost < 0.02 * 4 * _COUNT


def _any_zone(
    zone_failures: abc.Sequence[wire.ZoneFailures], zone: str
) -> wire.ZoneFailures:
    return (
        zone_failures[0] if zone_failures else wire.ZoneFailures(zone, 0.0, 0)
    )


@pytest.mark.parametrize("apart", [True, False])
def test_endpoint_that_fails_one_zone_serves_the_others(
    apart: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    if not apart:
        monkeypatch.setattr(_endpoint_history, "failures_for_zone", _any_zone)
    world = worlds.World(3, 8, 10, entry_zones=(_NORTH, _SOUTH))
    world.run(3.0)
    _fail_south(world)
    is_suspect = {_NORTH: 0, _SOUTH: 0}
    for number in range(150):
        entry = world.entries[number % 8]
        name = f"{number:016x}"
        world.submit(entry, name, 8, 0.2, 800, job_class=_QUICK)
        world.run(0.02)
        for entry in world.entries:
            rows = world.nodes[entry].core.pool
            zone = world.entry_zone_of[entry]
            is_suspect[zone] += sum(row.is_suspect for row in rows)
    assert is_suspect[_SOUTH]
    assert (not is_suspect[_NORTH]) is apart


@pytest.mark.parametrize("bounded", [True, False])
def test_pool_that_fails_is_not_flooded_by_second_tries(bounded: bool) -> None:
    world = worlds.World(
        3, 2, 6, rules=leases.EntryRules(retry_budget=bounded)
    )
    world.run(3.0)
    world.failing |= {f"endpoint-of-{agent}" for agent in world.agents}
    job_class = leases.JobClass("quick", "desk", 0, 5, 6.0, 0.06)
    for number in range(200):
        entry = world.entries[number % 2]
        name = f"{number:016x}"
        world.submit(entry, name, 1, 0.1, 800, job_class=job_class)
        world.run(0.02)
    again = sum(count - 1 for count in world.started.values())
    # A fifth, what is saved at first, and what each second brings.
    most = 0.2 * len(world.started) + 2 * (10 + 10 * 4)
    assert (again <= most) is bounded, again


def test_endpoint_whose_probe_is_lost_is_probed_again() -> None:
    """The client of an ejected endpoint's probe left, and it was stopped.

    Its entry waited for its end for ever and used the endpoint no more.
    """
    world = worlds.World(5, 1, 3)
    world.run(3.0)
    world.failing.add("endpoint-of-agent-0")
    number = 0
    while world.nodes["entry-0"].core.pool.find("agent-0").healthy:
        world.submit("entry-0", f"{number:016x}", 8, 0.1, job_class=_QUICK)
        world.run(0.1)
        number += 1
        assert number < 50
    world.failing.clear()
    row = world.nodes["entry-0"].core.pool.find("agent-0")
    while not row.awaits_probe:
        world.run(0.05)
    token = world.submit("entry-0", "a" * 16, 24, 0.5, job_class=_QUICK)
    world.run(0.2)
    assert not row.awaits_probe and not row.healthy
    world.post("entry-0", leases.ClientLeft(token, "a" * 16))
    world.run(1.0)
    for again in range(4):
        name = f"{again:015x}b"
        world.submit("entry-0", name, 24, 0.1, job_class=_QUICK)
        world.run(0.5)
    assert row.healthy


def test_endpoint_that_is_replaced_is_used_again() -> None:
    """An ejected endpoint was restarted and no entry used it any more.

    The judge began anew with it, but the row of the pool stayed ejected.
    """
    world = worlds.World(
        5, 1, 3, rules=leases.EntryRules(shared_evidence=False)
    )
    world.run(3.0)
    world.failing.add("endpoint-of-agent-0")
    row = world.nodes["entry-0"].core.pool.find("agent-0")
    for number in range(50):
        world.submit("entry-0", f"{number:016x}", 8, 0.1, job_class=_QUICK)
        world.run(0.1)
        if not row.healthy:
            break
    assert not row.healthy
    world.failing.clear()
    world.crash_endpoint("agent-0", 0.1)
    world.run(2.0)
    assert row.healthy


@pytest.mark.parametrize("moves", [True, False])
def test_run_that_hangs_while_others_go_on_is_made_elsewhere(
    moves: bool,
) -> None:
    """Only endpoints on which all runs slow down lost theirs to others."""
    world = worlds.World(
        3, 2, 4, rules=dataclasses.replace(leases.EntryRules(), moves=moves)
    )
    world.run(3.0)
    tokens = []
    for number in range(60):
        if number == 20:
            world.hanging["endpoint-of-agent-0"] = 0.2
        entry = world.entries[number % 2]
        name = f"{number:016x}"
        tokens.append(world.submit(entry, name, 6, 0.2, 800))
        world.run(0.1)
    world.run(1.0)
    served = sum(world.outcome(token) is not None for token in tokens)
    assert (served == len(tokens)) is moves, served
    assert not world.violations
