"""Messages by which an entry hands a waiting job over to another entry.

The delegator is the entry that took the job from its client, and it answers
the client. The delegate runs the job, but only while the delegator renews
its grant. The delegator can therefore determine when all runs are over even
if it receives nothing from the delegate.
"""

import enum

from ferryledge.wire import _lease_messages
from ferryledge.wire import _messages


class CapacityRequest(_messages.Model, frozen=True, tag="ask-room"):
    """Request for the free capacity that an entry offers to others."""

    #: Service of the endpoints that the jobs need.
    service: str


class CapacityReport(_messages.Model, frozen=True, tag="room"):
    """The capacity that the sender can offer to other entries."""

    #: Number of the report, counted from 1 by the sender; offers refer to it.
    number: int
    service: str
    #: Free thousandths of a core that the sender's own jobs do not need.
    cpu_millis: int


class OfferedJobClass(_messages.Model, frozen=True):
    """The class of an offered job, as operators configured it."""

    name: str
    service: str
    #: Lower numbers go first; 0 is the highest priority.
    priority: int
    #: Failed runs of one task after which the job fails.
    attempts: int
    #: The objective is ``stretch`` times the longest task's run time, plus
    #: ``target_s``.
    stretch: float
    #: Constant part of the objective, in seconds.
    target_s: float
    #: How long an answer is useful, as a multiple of the objective.
    late_factor: float


class OfferedStep(_messages.Model, frozen=True):
    """A step of an offered job: tasks with the same requirements."""

    count: int
    need: _lease_messages.Resources
    estimate_s: float = 0.0
    depends_on: tuple[int, ...] = ()
    label: str = ""
    max_per_endpoint: int = 0
    #: Label of the endpoints near the step's data; empty for none.
    near: str = ""


class OfferJob(_messages.Model, frozen=True, tag="offer"):
    """Offer of a job of which no run was ordered yet."""

    #: Number of the offer, counted from 1 by the delegator.
    number: int
    #: Incarnation of the delegator.
    delegator: str
    #: Incarnation of the receiver that the offer is for.
    delegate: str
    #: Number of the :class:`CapacityReport` that the offer is based on.
    capacity_report: int
    job: str
    #: The client's specification of the work, packed.
    packed_spec: bytes
    job_class: OfferedJobClass
    steps: tuple[OfferedStep, ...]
    #: Seconds since the job arrived.
    waited_s: float
    #: Seconds after the job's arrival at which its client stops waiting; 0
    #: if the client waits without limit.
    deadline_s: float = 0.0


class DeclineReason(enum.StrEnum):
    """Why an entry declined an offer."""

    #: The offer is for another incarnation, or is based on a report of free
    #: capacity that is unknown or has expired.
    OLD = "old"
    #: The receiver has the job already.
    KNOWN = "known"
    LEAVING = "leaving"
    #: Not sent by this version.
    LINK = "link"
    MALFORMED = "malformed"
    #: The receiver has too little free capacity by now.
    ROOM = "room"


class OfferAnswered(_messages.Model, frozen=True, tag="offer-answered"):
    """Answer to an offer; nothing of a declined job was run."""

    delegator: str
    #: Number of the offer.
    number: int
    #: Why the offer was declined; none if it was accepted.
    declined: DeclineReason | None = None


class HandoverOutcome(enum.StrEnum):
    """How a handed-over job ended at the delegate."""

    DONE = "done"
    #: The job failed and may have run.
    FAILED = "failed"
    #: No part of the job ran or will run.
    NOT_RUN = "not_run"
    #: The delegate abandoned the job and is stopping its runs.
    STOPPED = "stopped"


class HandoverEnded(_messages.Model, frozen=True, tag="handled"):
    """The end of a handed-over job, reported to the delegator."""

    delegator: str
    #: Number of the offer.
    number: int
    how: HandoverOutcome
    #: A value of :class:`ferryledge.outcomes.Reason`; empty unless the job
    #: failed.
    reason: str = ""
    #: Name of the process at which it failed.
    peer: str = ""


class WithdrawJob(_messages.Model, frozen=True, tag="withdraw"):
    """The delegator no longer needs a job: the delegate stops its runs."""

    delegator: str
    #: Number of the offer.
    number: int


class HandoverGrantRequest(_messages.Model, frozen=True, tag="ask-handed-in"):
    """Request for a grant to go on running jobs of the delegator."""

    delegator: str
    #: Number of the request, which its grant repeats.
    number: int
    #: Numbers of the offers of these jobs.
    offers: tuple[int, ...]


class HandoverGrant(_messages.Model, frozen=True, tag="grant-handed-in"):
    """Lets the delegate go on running the listed jobs.

    The grant's period begins when its request was sent. The delegate stops
    the requested jobs that the grant does not list. The grant also confirms
    all messages that the delegate sent before the request.
    """

    delegator: str
    #: Number of the request that it answers.
    number: int
    #: Numbers of the offers of the jobs that may go on.
    offers: tuple[int, ...]


HandoverMessage = (
    CapacityRequest
    | CapacityReport
    | OfferJob
    | OfferAnswered
    | HandoverEnded
    | WithdrawJob
    | HandoverGrantRequest
    | HandoverGrant
)
