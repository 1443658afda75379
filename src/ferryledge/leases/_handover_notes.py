"""Log notes of an entry about handovers."""

from ferryledge.leases import _jobs
from ferryledge.leases import _meters
from ferryledge.leases import _notes
from ferryledge import outcomes
from ferryledge import wire


class HandoverNotes(_notes.Notes):
    """Records an entry's decisions about handovers.

    :param meter: counts each decision
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
        reported_at: float,
    ) -> None:
        """Record that a job was offered to another entry."""
        self._meter.handover("offered")
        self.add(
            outcomes.Step.MOVE,
            "offered to another entry",
            job.name,
            peer,
            waited_s=round(now - job.arrived_at, 3),
            start_in_s=round(job.start_by - now, 3),
            left_cpu_millis=cpu_millis,
            told_s=round(now - reported_at, 3),
        )

    def accepted(self, now: float, job: _jobs.Job, peer: str) -> None:
        """Record that another entry accepted a job."""
        self._meter.handover("accepted")
        self.add(
            outcomes.Step.MOVE,
            "another entry accepted the job",
            job.name,
            peer,
            waited_s=round(now - job.arrived_at, 3),
        )

    def declined(
        self, now: float, job: _jobs.Job, peer: str, why: wire.DeclineReason
    ) -> None:
        """Record that another entry declined a job."""
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
        handled: wire.HandoverEnded,
    ) -> None:
        """Record the result that another entry reported."""
        self._meter.handover(f"handled_{handled.how}")
        self.add(
            outcomes.Step.MOVE,
            "another entry reported the outcome of the job",
            job.name,
            peer,
            how=str(handled.how),
            waited_s=round(now - job.arrived_at, 3),
        )

    def handover_lost(
        self, now: float, job: _jobs.Job, peer: str, renewed_at: float
    ) -> None:
        """Record that no renewal was requested for a job in time."""
        self._meter.handover("lost")
        self.add(
            outcomes.Step.MOVE,
            "handed-over job lost, runs here once its lease has expired",
            job.name,
            peer,
            urgent=True,
            signed_s=round(now - renewed_at, 3),
        )

    def result_ignored(self, peer: str, handled: wire.HandoverEnded) -> None:
        """Record a result that was ignored: the job isn't handed over."""
        self._meter.handover("dropped")
        self.add(
            outcomes.Step.MOVE,
            "result of a handed-over job ignored",
            peer=peer,
            urgent=True,
            how=str(handled.how),
            offer=handled.number,
        )

    def offer_decided(
        self,
        now: float,
        offer: wire.OfferJob,
        peer: str,
        declined: wire.DeclineReason | None,
        reported_at: float,
    ) -> None:
        """Record that an offer of another entry was accepted or declined."""
        self._meter.handover("turned_down" if declined else "taken")
        self.add(
            outcomes.Step.MOVE,
            "job of another entry declined"
            if declined
            else "job of another entry accepted",
            offer.job,
            peer,
            reason=str(declined or ""),
            waited_s=round(offer.waited_s, 3),
            told_s=round(now - reported_at, 3),
        )

    def lease_expired(self, job: _jobs.Job, peer: str) -> None:
        """Record that a job was stopped because its lease expired."""
        self._meter.handover("stopped")
        self.add(
            outcomes.Step.MOVE,
            "job stopped, its delegator no longer renews the lease",
            job.name,
            peer,
            urgent=True,
        )
