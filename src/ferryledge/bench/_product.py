"""Runs the product's cores on a case's jobs."""

import functools

from ferryledge.bench import _arrivals
from ferryledge.bench import _cases
from ferryledge.bench import _network
from ferryledge.bench import _results
from ferryledge import configlog
from ferryledge import core
from ferryledge import harness
from ferryledge import outcomes

_WORKSPACE = "workspace"
_SETTLE_S = 120.0


def _entities(case: _cases.Case) -> tuple[configlog.Entity, ...]:
    services = tuple(configlog.Service(one.name) for one in _arrivals.SERVICES)
    return (*services, configlog.Workspace(_WORKSPACE))


def new_world(
    case: _cases.Case, seed: int, options: core.EntryOptions
) -> harness.World:
    """Return a world of the case's size."""
    return harness.World(
        harness.WorldOptions(
            entries=case.entries,
            agents=case.endpoints,
            slots=case.slots,
            hop_s=_network.HOP_S,
            client_hop_s=_network.CLIENT_HOP_S,
            entry=options,
            seed=seed,
        ),
        _entities(case),
    )


class _Run:
    def __init__(
        self,
        case: _cases.Case,
        arrivals: list[_arrivals.Arrival],
        world: harness.World,
    ) -> None:
        self.case = case
        self.arrivals = arrivals
        self.world = world
        self.records: dict[int, list[harness.ClientRecord]] = {}

    def run(self) -> _results.RunOutput:
        world = self.world
        start = world.now
        messages = world.messages
        for one in self.arrivals:
            world.clock.at(
                start + one.at, functools.partial(self._submit, one)
            )
        strike = self.arrivals[int(_network.FAULT_AT * len(self.arrivals))]
        world.clock.at(start + strike.at, self._strike)
        world.clock.run(start + self.arrivals[-1].at + _SETTLE_S)
        return self._output(world.messages - messages)

    def _submit(self, arrival: _arrivals.Arrival) -> None:
        tasks = []
        for index, run_s in enumerate(arrival.run_s):
            payload = f'"{arrival.number}-{index}"'.encode()
            self.world.endpoints.specs[payload] = harness.TaskSpec(run_s)
            declared = arrival.declared_s[index]
            tasks.append(core.TaskRequest(payload, declared))
        request = core.JobRequest(
            f"job-{arrival.number}",
            _WORKSPACE,
            arrival.service,
            tuple(tasks),
            repeatable=arrival.repeatable,
        )
        names = self.world.entry_names
        entry = names[arrival.entry]
        if arrival.repeatable:
            records = [self.world.submit(request, entry)]
        else:
            records = self.world.submit_until_told(request, [entry])
        self.records[arrival.number] = records
        if arrival.cancel_at:
            self.world.clock.after(
                arrival.cancel_at - arrival.at,
                lambda: self.world.cancel(request, entry),
            )

    def _strike(self) -> None:
        world = self.world
        state = world.endpoints.states["agent-1"]
        match self.case.fault:
            case _cases.EndpointFault.SLOW:
                state.slowdown = _network.SLOW_FACTOR
            case _cases.EndpointFault.FAILS_ALL:
                state.fail_all = True
            case _cases.EndpointFault.DIES:
                world.kill("agent-1", restart_s=None)
            case _cases.EndpointFault.FREEZES:
                world.freeze("agent-1", _network.FREEZE_S)
            case _:
                pass

    def _output(self, messages: int) -> _results.RunOutput:
        slowdowns = []
        refused = failed = partial = 0
        skip = int(_results.WARM_UP * len(self.arrivals))
        for arrival in self.arrivals:
            records = self.records[arrival.number]
            last = records[-1]
            match last.outcome:
                case outcomes.Complete(results):
                    partial += len(results) != len(arrival.run_s)
                    if arrival.number >= skip:
                        slowdowns.append(_slowdown(arrival, records))
                case outcomes.Refused():
                    refused += 1
                case _ if not arrival.cancel_at:
                    failed += 1
                case _:
                    pass
        return _results.RunOutput(
            tuple(slowdowns),
            len(self.world.journal.starts),
            messages,
            self.world.wasted,
            refused,
            failed,
            len(self.world.journal.doubles()),
            partial,
        )


def _slowdown(
    arrival: _arrivals.Arrival, records: list[harness.ClientRecord]
) -> float:
    """Return response over ideal, from the first submission on."""
    response = records[-1].answered_at - records[0].submitted_at
    return response / (arrival.longest_s + _network.ROUND_TRIP_S)


def run_product(
    case: _cases.Case,
    arrivals: list[_arrivals.Arrival],
    seed: int,
    options: core.EntryOptions | None = None,
) -> _results.RunOutput:
    """Run the jobs through the product.

    :param case: the setting
    :param arrivals: the jobs
    :param seed: of its choices
    :param options: of its entries
    """
    world = new_world(case, seed, options or core.EntryOptions())
    return _Run(case, arrivals, world).run()
