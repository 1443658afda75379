"""Entries that register jobs with each other, for the tests."""

from ferryledge import leases
from ferryledge.leases import _jobs
from ferryledge.leases import _registration
from ferryledge import loads as worlds
from ferryledge import wire

JOB = "a" * 16
ENTRIES = tuple(f"entry-{n}" for n in range(10))


def make_job(name: str = JOB, deadline_s: float = 5.0) -> _jobs.Job:
    step = leases.JobStep(1, wire.Resources(1000))
    request = leases.LeasedJob(
        name, worlds.JOB_CLASS, "spec", (step,), deadline_s
    )
    return _jobs.Job(request, [1], 0.0, 0.1, _jobs.make_tasks(request))


def make_registrations(
    name: str = "entry-0",
    peers: tuple[str, ...] = ENTRIES,
    silent_s: float = 0.0,
) -> _registration.Registrations:
    registrations = _registration.Registrations(
        name, lambda now, peer: silent_s, lambda now, peer: None
    )
    for peer in peers:
        if peer != name:
            registrations.join(0.0, peer, registers_jobs=True)
    return registrations


def asked(registrations: _registration.Registrations) -> list[str]:
    return [name for name, _ in registrations.pop_messages()]


def registrars(name: str, job: str, peers: tuple[str, ...]) -> set[str]:
    registrations = make_registrations(name, peers)
    registrations.start(0.0, make_job(job))
    return set(asked(registrations))


def make_world(
    seed: int = 1, entries: int = 8, rules: leases.EntryRules | None = None
) -> worlds.World:
    world = worlds.World(
        seed, entries=entries, agents=3 * entries, peers=True, rules=rules
    )
    world.run(4.0)
    return world
