"""The cases that are measured."""

import dataclasses
import enum


class EndpointFault(enum.StrEnum):
    """What befalls one endpoint."""

    NONE = "none"
    SLOW = "slow"
    FAILS_ALL = "fails_all"
    DIES = "dies"
    FREEZES = "freezes"


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """One setting in which strategies are compared."""

    name: str
    #: Offered work over the slots' capacity.
    load: float = 0.8
    entries: int = 3
    endpoints: int = 11
    slots: int = 8
    jobs: int = 2400
    fault: EndpointFault = EndpointFault.NONE
    #: Load during the middle fifth of the run; 0 is no burst.
    burst: float = 0.0
    #: Share of the jobs that their clients cancel in one wave.
    cancelled: float = 0.0
    #: Spread of the declared run times, as a natural logarithm.
    declared_sigma: float = 1.0
    #: Share of the jobs that may run only once.
    unrepeatable: float = 0.0
    #: Tasks of a job, at least and at most.
    tasks: tuple[int, int] = (1, 12)


#: Declared run times that are off by up to ten times.
_OFF_BY_TEN = 2.3

CASES: tuple[Case, ...] = (
    Case("load_0.3", load=0.3),
    Case("load_0.6", load=0.6),
    Case("load_0.8", load=0.8),
    Case("load_0.9", load=0.9),
    Case("burst_1.5", load=0.6, burst=1.5),
    Case("one_slow", fault=EndpointFault.SLOW),
    Case("one_fails_all", fault=EndpointFault.FAILS_ALL),
    Case("one_dies", fault=EndpointFault.DIES),
    Case("one_freezes", fault=EndpointFault.FREEZES),
    Case("cancellations", cancelled=0.1),
    Case("declared_off_10x", declared_sigma=_OFF_BY_TEN),
    Case("unrepeatable_half", unrepeatable=0.5),
    Case("single_tasks", load=0.6, tasks=(1, 1), jobs=8000),
    Case("wide_0.6", load=0.6, entries=24, endpoints=60, jobs=6000),
    Case("wide_0.9", load=0.9, entries=24, endpoints=60, jobs=6000),
)
