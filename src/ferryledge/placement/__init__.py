"""Tables of endpoints and waiting jobs, and the choice between them."""

import typing

from ferryledge import _lazy

if typing.TYPE_CHECKING:
    from ferryledge.placement import _choice
    from ferryledge.placement import _pools
    from ferryledge.placement import _runtimes
    from ferryledge.placement import _tables
    from ferryledge.placement import _waiting

    Binding = _tables.Binding
    NORMAL_SLOWNESS = _choice.NORMAL_SLOWNESS
    EndpointRow = _tables.EndpointRow
    EndpointTable = _tables.EndpointTable
    RunTimes = _runtimes.RunTimes
    WaitingJob = _waiting.WaitingJob
    WaitingQueue = _waiting.WaitingQueue
    PlacementRequest = _choice.PlacementRequest
    choose_endpoint = _choice.choose_endpoint
    pool_count = _pools.pool_count
    pool_of = _pools.pool_of
    rank = _pools.rank
else:
    # An agent needs the ranking of entries alone.
    __getattr__ = _lazy.attach(
        __name__,
        {
            "_choice": (
                "NORMAL_SLOWNESS",
                "PlacementRequest",
                "choose_endpoint",
            ),
            "_pools": (
                "pool_count",
                "pool_of",
                "rank",
            ),
            "_runtimes": ("RunTimes",),
            "_tables": (
                "Binding",
                "EndpointRow",
                "EndpointTable",
            ),
            "_waiting": (
                "WaitingJob",
                "WaitingQueue",
            ),
        },
    )

__all__ = [
    "NORMAL_SLOWNESS",
    "Binding",
    "EndpointRow",
    "EndpointTable",
    "RunTimes",
    "WaitingJob",
    "WaitingQueue",
    "PlacementRequest",
    "choose_endpoint",
    "pool_count",
    "pool_of",
    "rank",
]
