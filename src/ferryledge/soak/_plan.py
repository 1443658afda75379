"""What goes wrong in a soak, and when: the same for the same seed."""

import dataclasses
import enum
import random

#: Seconds at the start and at the end without faults.
_CALM_S = 2.0
#: Number of clients, each of which keeps one connection to each entry open.
CLIENTS = 8
#: Seconds that the tasks of a job take; each job gets one of these.
WORK_S = (0.05, 0.2, 0.8)
#: Mean seconds between faults; they last longer, so they overlap.
MEAN_GAP_S = 1.2


class FaultKind(enum.StrEnum):
    """What goes wrong."""

    KILL_ENTRY = "kill_entry"
    STOP_ENTRY = "stop_entry"
    PAUSE_ENTRY = "pause_entry"
    RELOAD_ENTRY = "reload_entry"
    KILL_AGENT = "kill_agent"
    STOP_AGENT = "stop_agent"
    PAUSE_AGENT = "pause_agent"
    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    CUT = "cut"
    CUT_ONE_WAY = "cut_one_way"
    STORE_SILENT = "store_silent"
    STORE_BUSY = "store_busy"
    STORE_SLOW = "store_slow"
    STORE_LOST = "store_lost"
    ENDPOINT_CRASH = "endpoint_crash"
    ENDPOINT_RESTART = "endpoint_restart"
    ENDPOINT_SLOW = "endpoint_slow"
    ENDPOINT_STILL = "endpoint_still"
    ENDPOINT_DRAIN = "endpoint_drain"
    ENDPOINT_FLAP = "endpoint_flap"
    ENDPOINT_FAIL = "endpoint_fail"
    LATE_ORDERS = "late_orders"
    CONFIG = "config"
    CONFIG_STORM = "config_storm"
    CROWDED_ENTRY = "crowded_entry"
    CORDON = "cordon"
    DEADLY_JOB = "deadly_job"


class WideKind(enum.StrEnum):
    """What goes wrong at many places at once, or together."""

    #: All agents are killed.
    KILL_AGENTS = "kill_agents"
    #: A random half of all processes is killed.
    KILL_HALF = "kill_half"
    #: All streams to entries break.
    RESET_ALL = "reset_all"
    #: A random half of the streams to entries breaks.
    RESET_HALF = "reset_half"
    #: Nothing passes on open connections to entries, or on those from agents
    #: to endpoints.
    SILENCE_ALL = "silence_all"
    #: Half of the endpoints carry out no stops.
    STOPS_IGNORED = "stops_ignored"
    #: Half of the endpoints carry out no stops, and one entry can't reach
    #: their agents.
    STOPS_IGNORED_CUT = "stops_ignored_cut"
    #: Half of the processes are paused again and again for a short time.
    STUTTER = "stutter"
    #: An agent is killed and started at once, and one entry can't reach it.
    QUICK_RESTART = "quick_restart"


AnyKind = FaultKind | WideKind
#: The kinds of faults that a plan may choose from, by name.
KIND_SETS: dict[str, tuple[AnyKind, ...]] = {
    "single": tuple(FaultKind),
    "wide": tuple(WideKind),
    "all": (*FaultKind, *WideKind),
}

#: Faults that interrupt the streams between entries and agents, or may be
#: taken to: all wide ones.
_DISCONNECTING: frozenset[AnyKind] = frozenset(
    {
        *WideKind,
        FaultKind.KILL_ENTRY,
        FaultKind.STOP_ENTRY,
        FaultKind.PAUSE_ENTRY,
        FaultKind.KILL_AGENT,
        FaultKind.STOP_AGENT,
        FaultKind.PAUSE_AGENT,
        FaultKind.DELAY,
        FaultKind.RESET,
        FaultKind.SILENCE,
        FaultKind.CUT,
        FaultKind.CUT_ONE_WAY,
    }
)
#: Seconds after such a fault until all streams are open again.
_RECONNECT_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault."""

    #: Seconds from the start of the load.
    at: float
    kind: AnyKind
    #: Picks the thing that it strikes, among those of its kind.
    pick: int
    #: Seconds that it lasts.
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """A whole soak."""

    seed: int
    seconds: float
    entries: int
    agents: int
    faults: tuple[Fault, ...]
    clients: int = CLIENTS
    work_s: tuple[float, ...] = WORK_S
    #: Share of the jobs whose first request arrives after its repetition.
    late_requests: float = 0.0
    #: Share of the other jobs whose client repeats them without closing the
    #: connection to their first entry.
    silent_clients: float = 0.0

    def are_connected(self, since: float, until: float) -> bool:
        """Return whether no fault interrupts any streams for a while.

        :param since: start of that time, in seconds of the load
        :param until: end of that time, in seconds of the load
        """
        return not any(
            fault.kind in _DISCONNECTING
            and fault.at <= until
            and since <= fault.at + fault.for_s + _RECONNECT_S
            for fault in self.faults
        )


def make_plan(
    seed: int,
    seconds: float = 20.0,
    entries: int = 3,
    agents: int = 5,
    only: tuple[AnyKind, ...] = (),
    mean_gap_s: float = MEAN_GAP_S,
    clients: int = CLIENTS,
    work_s: tuple[float, ...] = WORK_S,
    late_requests: float = 0.0,
    silent_clients: float = 0.0,
) -> Plan:
    """Return the plan of a seed.

    :param seed: of all choices
    :param seconds: how long load is offered
    :param entries: number of entry processes
    :param agents: number of agent processes, each with an endpoint
    :param only: kinds of faults; if empty, all that strike a single target
    :param mean_gap_s: mean seconds between faults
    :param clients: number of clients, each with one job at a time
    :param work_s: seconds that the tasks of a job take; each job gets one of
        these
    :param late_requests: share of the jobs whose first request arrives after
        its repetition
    :param silent_clients: share of the other jobs whose client repeats them
        without closing the connection to their first entry
    """
    rng = random.Random(seed)
    faults = []
    at = _CALM_S
    kinds = only or KIND_SETS["single"]
    while at < seconds - 2 * _CALM_S:
        kind = rng.choice(kinds)
        faults.append(
            Fault(at, kind, rng.randrange(1000), rng.uniform(0.2, 3.5))
        )
        at += rng.expovariate(1.0 / mean_gap_s)
    return Plan(
        seed,
        seconds,
        entries,
        agents,
        tuple(faults),
        clients,
        work_s,
        late_requests,
        silent_clients,
    )
