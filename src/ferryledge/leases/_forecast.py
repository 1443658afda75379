"""When a waiting job gets room, and whether its answer will be of use.

It answers a load above the room for some seconds: what can still be in time
goes first, what is late takes the room that this leaves, and what would come
too late to be of use is known at once, so that its client can turn elsewhere.
Work is taken for a fluid: the cores that this entry can count on carry away
a core-second each second, and what comes adds to what is ahead.
"""

import bisect
import enum
import itertools

import msgspec

from ferryledge.leases import _arrivals

#: Seconds between two points of a forecast, and how far it reaches: beyond
#: it the load is anyone's guess.
_STEP_S = 0.1
_REACH_S = 8.0
_STEPS = round(_REACH_S / _STEP_S)
_NEVER = float("inf")


class Prospect(enum.Enum):
    """What becomes of a job that is kept."""

    #: It is likely to be answered within its objective.
    IN_TIME = "in time"
    #: It is likely to miss that, yet to be of use to its client.
    LATE = "late"
    #: Its answer would come when nobody needs it any more.
    TOO_LATE = "in vain"


class Forecast(msgspec.Struct, frozen=True):
    """What is expected of one job."""

    #: Seconds until its last waiting task has room; infinite if never.
    room_in_s: float
    #: Seconds until its answer.
    answer_in_s: float
    prospect: Prospect


class Demand(msgspec.Struct, frozen=True):
    """What a forecast has to know of a job; times in monotonic seconds."""

    #: Core-seconds of its waiting tasks.
    work: float
    #: Expected seconds of its longest task.
    run_s: float
    #: The latest start that is likely to meet the objective.
    start_by: float
    #: Until when an answer is of use.
    useful_until: float

    @property
    def useful_start_by(self) -> float:
        """The latest start whose answer is likely to be of use."""
        return self.useful_until - self.run_s


class CapacityChange(msgspec.Struct, frozen=True):
    """Room that comes or goes."""

    #: Seconds from now.
    in_s: float
    #: Cores; negative if they go.
    cores: float


class AvailableCapacity(msgspec.Struct, frozen=True):
    """The room that work of one entry can count on."""

    #: Cores that its waiting work gets in the long run.
    cores: float
    #: Cores on which nothing runs now.
    free: float = 0.0
    changes: tuple[CapacityChange, ...] = ()
    #: Seconds that an order waits for this entry's own link.
    link_wait_s: float = 0.0

    def cores_in(self, in_s: float) -> float:
        """Return the cores at a later moment."""
        changed = sum(one.cores for one in self.changes if one.in_s <= in_s)
        return max(0.0, self.cores + changed)


class Forecaster:
    """Tells what becomes of jobs of one service, as of one moment.

    :param now: monotonic seconds
    :param room: that its jobs can count on
    :param inflow: the work that comes
    """

    def __init__(
        self, now: float, room: AvailableCapacity, inflow: _arrivals.Inflow
    ) -> None:
        self._now = now
        self._room = room
        #: The work that comes.
        self.inflow = inflow
        steps = [number * _STEP_S for number in range(_STEPS)]
        self._whole = _sums([room.cores_in(one) for one in steps])
        self._left = _sums(
            [max(0.0, room.cores_in(one) - inflow.cores(one)) for one in steps]
        )

    @property
    def cores(self) -> float:
        """The cores that its jobs can count on now."""
        return self._room.cores_in(0.0)

    def forecast_on_time(self, demand: Demand, ahead: float) -> Forecast:
        """Return the forecast of a job in the turn of those in time.

        :param demand: what it needs
        :param ahead: core-seconds that wait and get room before it
        """
        coming = self.inflow.ahead(demand.start_by - self._now)
        room_in_s = self._room_in(self._whole, demand, ahead + coming)
        if self._now + room_in_s <= demand.start_by:
            return self._tell(demand, room_in_s, Prospect.IN_TIME)
        return self.late(demand, ahead)

    def late(self, demand: Demand, ahead: float) -> Forecast:
        """Return the forecast of a job behind all that can be in time.

        :param demand: what it needs
        :param ahead: core-seconds that wait and get room before it
        """
        room_in_s = self._room_in(self._left, demand, ahead)
        # What fits into free room is not given up: it may get that in spite
        # of what is ahead, which may wait for other endpoints.
        wait_s = 0.0 if self._fits(demand) else room_in_s
        if self._now + wait_s <= demand.useful_start_by:
            return self._tell(demand, room_in_s, Prospect.LATE)
        return self._tell(demand, room_in_s, Prospect.TOO_LATE)

    def queueing_delay(self, ahead: float, work: float) -> float:
        """Return in how many seconds so much more work has got room.

        :param ahead: core-seconds that wait
        :param work: core-seconds that come behind them
        """
        return _reached(self._left, ahead + work)

    def _fits(self, demand: Demand) -> bool:
        """Return whether all its waiting tasks have room now."""
        return demand.work <= self._room.free * demand.run_s

    def _room_in(
        self, sums: list[float], demand: Demand, ahead: float
    ) -> float:
        """Return how long it takes until the last task has room.

        What is free now takes that much work without any run's end.
        """
        at_once = self._room.free * demand.run_s
        work = max(0.0, ahead + demand.work - at_once)
        return _reached(sums, work) + self._room.link_wait_s

    def _tell(
        self, demand: Demand, room_in_s: float, prospect: Prospect
    ) -> Forecast:
        return Forecast(room_in_s, room_in_s + demand.run_s, prospect)


def _sums(cores: list[float]) -> list[float]:
    """Return the core-seconds that are carried away by each step."""
    carried = (one * _STEP_S for one in cores)
    return list(itertools.accumulate(carried, initial=0.0))


def _reached(sums: list[float], work: float) -> float:
    """Return after how many seconds so much work is carried away."""
    if work <= 0.0:
        return 0.0
    step = bisect.bisect_left(sums, work)
    if step == len(sums):
        return _NEVER
    part = (work - sums[step - 1]) / (sums[step] - sums[step - 1])
    return (step - 1 + part) * _STEP_S
