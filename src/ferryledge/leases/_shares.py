"""What a queue is owed while not all can be served.

It answers one queue's burst beside steady ones: without shares all pay for
it alike. A queue is owed what it usually needs, and an equal part of the
room at the least, as far as that is not needed by others. Where a job has to
be late, one of a queue far beyond that is taken first. On a wave that all
queues ride none is, and nothing changes.
"""

from ferryledge.leases import _arrivals

#: Work beyond what a queue is owed from which it counts as a burst, as a
#: share of that: chance alone brings less.
_BURST_SHARE = 0.5


def owed(inflow: _arrivals.Inflow, cores: float) -> dict[str, float]:
    """Return the cores that each queue is owed.

    :param inflow: what comes to the queues of one service
    :param cores: that they can count on together
    """
    if not inflow.queues:
        return {}
    equal = cores / len(inflow.queues)
    return {one.queue: max(one.usually, equal) for one in inflow.queues}


def bursting(inflow: _arrivals.Inflow, cores: float) -> frozenset[str]:
    """Return the queues that need far more than they are owed.

    :param inflow: what comes to the queues of one service
    :param cores: that they can count on together
    """
    share = owed(inflow, cores)
    return frozenset(
        one.queue
        for one in inflow.queues
        if one.lately > (1.0 + _BURST_SHARE) * share[one.queue]
    )
