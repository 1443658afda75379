"""An entry's notes on jobs that pass between entries."""

from ferryledge.leases import _jobs
from ferryledge.leases import _meters
from ferryledge.leases import _notes
from ferryledge import outcomes
from ferryledge import wire


class HandoverNotes(_notes.Notes):
    """What an entry decides about jobs of and for other entries.

    :param meter: counts along
    """

    def __init__(self, meter: _meters.EntryMeter) -> None:
        super().__init__()
        self._meter = meter

    def offered(
        self,
        now: float,
        job: _jobs.Job,
        peer: str,
        cpu_millis: int,
        heard_at: float,
    ) -> None:
        """A job is offered to another entry."""
        self._meter.handover("offered")
        self.add(
            outcomes.Step.MOVE,
            "offered to another entry",
            job.name,
            peer,
            waited_s=round(now - job.arrived_at, 3),
            start_in_s=round(job.start_by - now, 3),
            left_cpu_millis=cpu_millis,
            told_s=round(now - heard_at, 3),
        )

    def accepted(self, now: float, job: _jobs.Job, peer: str) -> None:
        """Another entry runs a job."""
        self._meter.handover("accepted")
        self.add(
            outcomes.Step.MOVE,
            "another entry took the job",
            job.name,
            peer,
            waited_s=round(now - job.arrived_at, 3),
        )

    def declined(
        self, now: float, job: _jobs.Job, peer: str, why: wire.Declined
    ) -> None:
        """Another entry does not run a job."""
        self._meter.handover("declined")
        self.add(
            outcomes.Step.MOVE,
            "another entry declined the job",
            job.name,
            peer,
            reason=str(why),
            waited_s=round(now - job.arrived_at, 3),
        )

    def handled(
        self,
        now: float,
        job: _jobs.Job,
        peer: str,
        handled: wire.JobHandled,
    ) -> None:
        """Another entry told what became of a job."""
        self._meter.handover(f"handled_{handled.how}")
        self.add(
            outcomes.Step.MOVE,
            "another entry is done with the job",
            job.name,
            peer,
            how=str(handled.how),
            waited_s=round(now - job.arrived_at, 3),
        )

    def handed_on_lost(
        self, now: float, job: _jobs.Job, peer: str, signed_at: float
    ) -> None:
        """Nothing is heard of a job that another entry has or may have."""
        self._meter.handover("lost")
        self.add(
            outcomes.Step.MOVE,
            "handed-on job lost: run here once it must be over",
            job.name,
            peer,
            urgent=True,
            signed_s=round(now - signed_at, 3),
        )

    def result_dropped(self, peer: str, handled: wire.JobHandled) -> None:
        """A result came for a job that is not away any more."""
        self._meter.handover("dropped")
        self.add(
            outcomes.Step.MOVE,
            "result of a handed-on job dropped",
            peer=peer,
            urgent=True,
            how=str(handled.how),
            offer=handled.number,
        )

    def taken(
        self,
        now: float,
        offer: wire.OfferJob,
        peer: str,
        declined: wire.Declined | None,
        told_at: float,
    ) -> None:
        """An offer of another entry is taken or declined."""
        self._meter.handover("turned_down" if declined else "taken")
        self.add(
            outcomes.Step.MOVE,
            "job declined" if declined else "job taken for another entry",
            offer.job,
            peer,
            reason=str(declined or ""),
            waited_s=round(offer.waited_s, 3),
            told_s=round(now - told_at, 3),
        )

    def giver_silent(self, job: _jobs.Job, peer: str) -> None:
        """A job is stopped, since its entry is not heard."""
        self._meter.handover("stopped")
        self.add(
            outcomes.Step.MOVE,
            "stopped: the entry that handed the job on is silent",
            job.name,
            peer,
            urgent=True,
        )
