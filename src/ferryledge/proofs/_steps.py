"""The steps of a request and of the configuration, as triggers."""

import dataclasses
import enum

from ferryledge import configlog
from ferryledge import core
from ferryledge import harness
from ferryledge import wire


class Step(enum.StrEnum):
    """A step at which a fault can strike."""

    SUBMIT = "submit"
    PLACE = "place"
    ADMIT = "admit"
    AUTHORISE = "authorise"
    SEND = "send"
    START = "start"
    RUN = "run"
    RESULT = "result"
    ANSWER = "answer"
    CANCEL = "cancel"
    DRAIN = "drain"
    PUBLISH = "publish"
    FOLD = "fold"
    CHECKPOINT = "checkpoint"
    JOIN = "join"


@dataclasses.dataclass(frozen=True, slots=True)
class Trigger:
    """What marks a step."""

    moment: harness.Moment
    subjects: tuple[type, ...] = (object,)
    #: Whether the node that acts is the one at the other end.
    actor_is_peer: bool = False
    #: Seconds after the mark at which the fault strikes.
    delay_s: float = 0.0

    def matches(self, happening: harness.Happening) -> bool:
        """Return whether a happening marks the step."""
        return happening.moment is self.moment and isinstance(
            happening.subject, self.subjects
        )


_SENT = harness.Moment.SENT
TRIGGERS: dict[Step, Trigger] = {
    Step.SUBMIT: Trigger(harness.Moment.SUBMITTED),
    Step.PLACE: Trigger(_SENT, (wire.PlaceJob,)),
    Step.ADMIT: Trigger(
        harness.Moment.DELIVERED, (wire.PlaceJob,), actor_is_peer=True
    ),
    Step.AUTHORISE: Trigger(_SENT, (wire.Authorise, wire.Verdict)),
    Step.SEND: Trigger(_SENT, (wire.StartTasks,)),
    Step.START: Trigger(harness.Moment.ACTED, (core.RunTask,)),
    Step.RUN: Trigger(harness.Moment.ACTED, (core.RunTask,), delay_s=0.04),
    Step.RESULT: Trigger(_SENT, (wire.TasksFinished,)),
    Step.ANSWER: Trigger(_SENT, (wire.JobAnswered,)),
    Step.CANCEL: Trigger(
        _SENT, (wire.CancelJob, wire.CancelTasks, wire.CancelRequest)
    ),
    Step.DRAIN: Trigger(_SENT, (wire.Leaving,)),
    Step.PUBLISH: Trigger(harness.Moment.APPENDED, (configlog.Change,)),
    Step.FOLD: Trigger(harness.Moment.READ),
    Step.CHECKPOINT: Trigger(harness.Moment.APPENDED, (configlog.Checkpoint,)),
    Step.JOIN: Trigger(harness.Moment.JOINED),
}
