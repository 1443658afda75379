"""The tasks of one start message, until their ends are reported."""

import dataclasses

from ferryledge import wire


@dataclasses.dataclass(slots=True)
class Batch:
    """Tasks of one job that came in one message."""

    owner: str
    submission: str
    report_each: bool
    left: int
    ticket: str = ""
    results: dict[int, bytes] = dataclasses.field(default_factory=dict)
    held: list[wire.FinishedTask] = dataclasses.field(default_factory=list)
    failed: bool = False
    #: Tasks that never reached the endpoint.
    unstarted: int = 0
