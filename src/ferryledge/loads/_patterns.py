"""What a load is: its jobs, how many come when, and what goes wrong."""

import dataclasses
import enum
import typing

import annotated_types

Share = typing.Annotated[float, annotated_types.Ge(0.0)]
Seconds = typing.Annotated[float, annotated_types.Ge(0.0)]
Positive = typing.Annotated[float, annotated_types.Gt(0.0)]
Count = typing.Annotated[int, annotated_types.Ge(1)]


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """One kind of job."""

    name: str
    #: Jobs of it against those of the other kinds.
    weight: Share
    #: Mean number of tasks of a job.
    tasks: Positive
    #: Mean seconds of a task.
    work_s: Positive
    #: Processor of a task, in thousandths of a core.
    cpu_millis: Count = 800
    #: 0 comes first.
    priority: int = 0
    #: The objective is this many times a task's work and ``target_s``.
    stretch: Positive = 1.6
    #: Seconds that the objective has beside that.
    target_s: Seconds = 0.06
    #: Seconds for which the client waits: the least and the most.
    deadline_s: tuple[Positive, Positive] = (2.0, 7.0)
    #: An answer is of use for this many times the objective.
    late_factor: Positive = 1.0
    #: Times that a refused client comes back when it was told.
    returns: typing.Annotated[int, annotated_types.Ge(0)] = 0
    #: What an answer in time is worth, for each core-second of a mean job.
    worth: Share = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Phase:
    """From when on how much comes."""

    #: Seconds from the start of the load.
    at: Seconds
    #: Work that comes, against what the whole pool can do.
    load: Share
    #: Factors on the weights of kinds; one that is not named has 1.
    kinds: dict[str, Share] = dataclasses.field(default_factory=dict)


class FaultKind(enum.StrEnum):
    """What goes wrong."""

    #: Endpoints are gone, and come back.
    ENDPOINTS_DOWN = "endpoints_down"
    #: Endpoints say that they leave, and stay away.
    ENDPOINTS_LEAVE = "endpoints_leave"
    #: Endpoints are down by turns, as long as they are up between.
    ENDPOINTS_FLAP = "endpoints_flap"
    #: Endpoints fail all that they start, though they say that they are well.
    ENDPOINTS_FAIL = "endpoints_fail"
    #: Entries are lost, and start again.
    ENTRIES_DOWN = "entries_down"
    #: Entries are stopped as planned, one after another.
    ENTRIES_STOP = "entries_stop"
    #: A share of the orders is carried out late and never answered.
    ANSWERS_LOST = "answers_lost"
    #: All entries, agents and endpoints lose power.
    POWER = "power"


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Something that goes wrong."""

    #: Seconds from the start of the load.
    at: Seconds
    what: FaultKind
    #: How many it hits.
    count: Count = 1
    #: Seconds that it lasts, or between two of a series.
    for_s: Seconds = 1.0
    #: Share of the orders, where it is about them.
    share: Share = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """A whole load."""

    name: str
    #: What it asks of the decisions, in a sentence.
    about: str
    seconds: Positive
    kinds: tuple[Kind, ...]
    phases: tuple[Phase, ...]
    faults: tuple[Fault, ...] = ()
    #: Share of the clients of each entry.
    entries: tuple[Share, ...] = (0.46, 0.33, 0.21)
    agents: Count = 6
    #: Deviation of the logarithm of sizes, and of clients' guesses at them.
    spread: Share = 0.4
    #: What the link of each entry carries in Mbit/s; 0 is unlimited.
    link_mbps: Share = 0.0
    #: Bytes of what the endpoints are to run, which do not compress well.
    spec_bytes: Count = 4

    def phase_at(self, at: float) -> Phase:
        """Return the phase that holds at a time."""
        return [one for one in self.phases if one.at <= at][-1]
