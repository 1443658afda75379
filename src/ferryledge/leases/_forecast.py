"""When a waiting job gets room, and whether its answer will be of use."""

import dataclasses
import enum


class Prospect(enum.Enum):
    """What becomes of a job that is kept."""

    #: It is likely to be answered within its objective.
    IN_TIME = "in time"
    #: It is likely to miss that, yet to be of use to its client.
    LATE = "late"
    #: Its answer would come when nobody needs it any more.
    IN_VAIN = "in vain"


@dataclasses.dataclass(frozen=True, slots=True)
class Forecast:
    """What is expected of one job."""

    #: Seconds until its last waiting task has room; infinite if never.
    room_in_s: float
    #: Seconds until its answer.
    answer_in_s: float
    prospect: Prospect
