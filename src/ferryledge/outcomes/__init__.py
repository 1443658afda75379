"""Tagged outcomes of jobs and tasks."""

from ferryledge.outcomes import _outcomes

Complete = _outcomes.Complete
FailedMayHaveRun = _outcomes.FailedMayHaveRun
FailedNotRun = _outcomes.FailedNotRun
InProgress = _outcomes.InProgress
JobOutcome = _outcomes.JobOutcome
Origin = _outcomes.Origin
Reason = _outcomes.Reason
Refused = _outcomes.Refused
Step = _outcomes.Step
TaskOutcome = _outcomes.TaskOutcome
TicketRequired = _outcomes.TicketRequired
tag_of = _outcomes.tag_of

__all__ = [
    "Complete",
    "FailedMayHaveRun",
    "FailedNotRun",
    "InProgress",
    "JobOutcome",
    "Origin",
    "Reason",
    "Refused",
    "Step",
    "TaskOutcome",
    "TicketRequired",
    "tag_of",
]
