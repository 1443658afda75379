"""The outcome of jobs that clients cancelled."""

from ferryledge import outcomes


def make_outcome(peer: str) -> outcomes.FailedMayHaveRun:
    """Return the outcome of a job that a client cancelled.

    :param peer: the entry that knows of the cancel
    """
    origin = outcomes.Origin(outcomes.Step.CANCEL, peer)
    return outcomes.FailedMayHaveRun(outcomes.Reason.CANCELLED, origin)


def is_cancelled(outcome: outcomes.JobOutcome) -> bool:
    """Return whether a job ended because a client cancelled it."""
    match outcome:
        case outcomes.FailedMayHaveRun(outcomes.Reason.CANCELLED):
            return True
    return False
