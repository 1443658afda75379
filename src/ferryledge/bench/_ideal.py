"""The all-knowing queue: one queue over all slots, least work first.

It knows every run time and the state of every slot, and takes the job with
the least work first. Its endpoints are never faulty, except that a slow
one is slow: it uses it last.
"""

import heapq
import itertools

from ferryledge.bench import _arrivals
from ferryledge.bench import _cases
from ferryledge.bench import _network
from ferryledge.bench import _results


class _Job:
    def __init__(self, arrival: _arrivals.Arrival) -> None:
        self.arrival = arrival
        self.waiting = sorted(arrival.run_s)
        self.left = len(self.waiting)

    @property
    def key(self) -> float:
        return sum(self.waiting)


def run_ideal(
    case: _cases.Case, arrivals: list[_arrivals.Arrival]
) -> _results.RunOutput:
    """Run the jobs through the all-knowing queue."""
    counter = itertools.count()
    events: list[tuple[float, int, _Job, int]] = []
    for one in arrivals:
        when = one.at + _network.ROUND_TRIP_S / 2
        heapq.heappush(events, (when, next(counter), _Job(one), -1))
    slots = _Slots(case)
    queue: list[tuple[float, int, _Job]] = []
    slowdowns: list[float] = []
    skip = int(_results.WARM_UP * len(arrivals))
    while events:
        now, _, job, kind = heapq.heappop(events)
        if kind >= 0:
            slots.give_back(kind)
            job.left -= 1
            if not job.left and job.arrival.number >= skip:
                ideal = job.arrival.longest_s + _network.ROUND_TRIP_S
                end = now + _network.ROUND_TRIP_S / 2
                slowdowns.append((end - job.arrival.at) / ideal)
        elif not job.arrival.cancel_at:
            heapq.heappush(queue, (job.key, next(counter), job))
        while queue and slots.free:
            _, _, head = heapq.heappop(queue)
            while head.waiting and slots.free:
                run_s = head.waiting.pop()
                slot, factor = slots.take()
                end = now + run_s * factor
                heapq.heappush(events, (end, next(counter), head, slot))
            if head.waiting:
                heapq.heappush(queue, (head.key, next(counter), head))
    tasks = sum(len(one.run_s) for one in arrivals)
    return _results.RunOutput(tuple(slowdowns), tasks)


class _Slots:
    """Free slots, of which it takes the quick ones first."""

    _QUICK = 0
    _SLOW = 1

    def __init__(self, case: _cases.Case) -> None:
        slow = case.fault is _cases.EndpointFault.SLOW
        gone = case.fault in (
            _cases.EndpointFault.DIES,
            _cases.EndpointFault.FAILS_ALL,
        )
        quick = case.endpoints - (1 if slow or gone else 0)
        self._counts = [quick * case.slots, case.slots if slow else 0]

    @property
    def free(self) -> int:
        """Free slots."""
        return sum(self._counts)

    def take(self) -> tuple[int, float]:
        """Take a slot; return its kind and how slow it is."""
        kind = self._QUICK if self._counts[self._QUICK] else self._SLOW
        self._counts[kind] -= 1
        return kind, _network.SLOW_FACTOR if kind else 1.0

    def give_back(self, kind: int) -> None:
        """Return a slot."""
        self._counts[kind] += 1
