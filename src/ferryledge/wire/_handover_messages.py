"""Messages by which an entry hands a waiting job on to another one.

The entry that took the job (the giver) answers its client. The other one
(the taker) runs it, but only while it hears from the giver: so the giver can
tell when all runs are over although the taker is silent.
"""

import enum

from ferryledge.wire import _lease_messages
from ferryledge.wire import _messages


class AskRoom(_messages.Model, frozen=True, tag="ask-room"):
    """Ask an entry how much room it has for jobs of others."""

    #: The service of the endpoints that are needed.
    service: str


class RoomTold(_messages.Model, frozen=True, tag="room"):
    """What the sender could start at once for others."""

    #: Counts what the sender told, from 1; an offer names it.
    number: int
    service: str
    #: Thousandths of a core that no job of its own waits for.
    cpu_millis: int


class OfferedClass(_messages.Model, frozen=True):
    """How the operators want a job to be treated."""

    name: str
    service: str
    priority: int
    attempts: int
    stretch: float
    target_s: float
    late_factor: float


class OfferedStep(_messages.Model, frozen=True):
    """Tasks of a job that are alike."""

    count: int
    need: _lease_messages.Resources
    estimate_s: float = 0.0
    depends_on: tuple[int, ...] = ()
    label: str = ""
    max_per_endpoint: int = 0
    near: str = ""


class OfferJob(_messages.Model, frozen=True, tag="offer"):
    """Take this job, of which nothing was ordered."""

    #: Counts the giver's offers, from 1.
    number: int
    #: The giver's incarnation.
    delegator: str
    #: The receiver's incarnation that is meant.
    delegate: str
    #: Number of the :class:`RoomTold` that the offer goes by.
    room: int
    job: str
    #: The packed spec.
    packed_spec: bytes
    job_class: OfferedClass
    steps: tuple[OfferedStep, ...]
    #: Seconds since the job arrived.
    waited_s: float
    #: Seconds from its arrival for which its client waits; 0 is for ever.
    deadline_s: float = 0.0


class Declined(enum.StrEnum):
    """Why an offer is not taken."""

    #: It names a room that was told too long ago, or by another process.
    OLD = "old"
    #: The job is held already.
    KNOWN = "known"
    LEAVING = "leaving"
    LINK = "link"
    MALFORMED = "malformed"
    ROOM = "room"


class OfferAnswered(_messages.Model, frozen=True, tag="offer-answered"):
    """Whether an offer is taken; one that is not was never run."""

    delegator: str
    number: int
    #: Empty if it is taken.
    declined: Declined | None = None


class HowHandled(enum.StrEnum):
    """What became of a job that was taken."""

    DONE = "done"
    #: It failed, and may have run.
    FAILED = "failed"
    #: Nothing of it ran, or will.
    NOT_RUN = "not_run"
    #: It is given up; its runs are being stopped.
    STOPPED = "stopped"


class JobHandled(_messages.Model, frozen=True, tag="handled"):
    """What became of a job that was taken."""

    delegator: str
    number: int
    how: HowHandled
    #: Why it failed, as :class:`ferryledge.outcomes.Reason` has it.
    reason: str = ""
    #: The process at which it failed.
    peer: str = ""


class WithdrawJob(_messages.Model, frozen=True, tag="withdraw"):
    """The giver no longer wants a job that it offered: stop its runs."""

    delegator: str
    number: int


class AskHandedIn(_messages.Model, frozen=True, tag="ask-handed-in"):
    """Ask the giver for the right to go on running jobs that were taken."""

    delegator: str
    number: int
    #: The numbers of their offers.
    offers: tuple[int, ...]


class GrantHandedIn(_messages.Model, frozen=True, tag="grant-handed-in"):
    """The right, counted from the sending of the ask with this number.

    The receiver stops what it asked for and is not named. What it sent
    before that ask has arrived.
    """

    delegator: str
    number: int
    offers: tuple[int, ...]


HandoverMessage = (
    AskRoom
    | RoomTold
    | OfferJob
    | OfferAnswered
    | JobHandled
    | WithdrawJob
    | AskHandedIn
    | GrantHandedIn
)
