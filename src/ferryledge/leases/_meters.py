"""Interfaces for the metrics of entries and agents.

The base classes ignore all calls. Subclasses record them as metrics.
"""

from ferryledge import wire


class EntryMeter:
    """Metrics of an entry's decisions; the base class records nothing."""

    def answered(
        self, outcome: str, reason: str, waited_s: float, slowdown: float
    ) -> None:
        """A job was answered.

        :param outcome: tag of the outcome
        :param reason: why the job is not complete; empty if it is
        :param waited_s: seconds since the job's arrival
        :param slowdown: ``waited_s`` as a multiple of the objective
        """

    def resubmitted(self) -> None:
        """A job was likely submitted before, and other entries were told."""

    def already_complete(self) -> None:
        """A job was submitted again of which all tasks are done."""

    def already_cancelled(self) -> None:
        """A job was submitted that a client had cancelled."""

    def superseded(self) -> None:
        """Another entry registered a newer submission of a known job."""

    def registrar_silent(self) -> None:
        """An entry that jobs were registered with did not answer in time."""

    def registrations_relayed(self) -> None:
        """Jobs were registered through an entry that may reach another one."""

    def first_order(self, waited_s: float) -> None:
        """The first runs of a job were ordered.

        :param waited_s: seconds since the job's arrival
        """

    def deferred(self) -> None:
        """A job was deferred behind all jobs that can be on time."""

    def ordered(self, count: int) -> None:
        """Runs were ordered.

        :param count: number of runs
        """

    def not_started(self, reason: wire.RunReleaseReason) -> None:
        """An agent released a run without starting it."""

    def ended(self, how: wire.RunOutcome) -> None:
        """A run ended."""

    def moved(self) -> None:
        """A run was moved off a slow endpoint."""

    def retry_delayed(self) -> None:
        """The retry of a task waits for the retry budget."""

    def health_changed(self) -> None:
        """An endpoint was ejected or readmitted."""

    def run_outlived(self, proven: bool) -> None:
        """An agent reported a run that had been counted as over.

        :param proven: whether the run certainly went on after that; otherwise
            its end may only have been reported late
        """

    def handover(self, what: str) -> None:
        """A handover of a job between two entries changed its state.

        :param what: the event, such as ``offered`` or ``lost``
        """


class AgentMeter:
    """Metrics of an agent's decisions; the base class records nothing."""

    def order(self, reason: str, count: int) -> None:
        """Ordered runs were accepted or released.

        :param reason: why they were released; empty if they were accepted
        :param count: number of runs
        """

    def run_ended(self, how: wire.RunOutcome, held_s: float) -> None:
        """A run is over.

        :param how: how it ended
        :param held_s: seconds since the run was ordered
        """

    def order_unanswered(self) -> None:
        """The endpoint did not answer an order."""

    def outage(self) -> None:
        """The endpoint came back after an unannounced outage."""

    def stream_suspected(self) -> None:
        """A stream is suspected to be silent and a second one is opened."""

    def grant_expired(self) -> None:
        """A run was stopped, since the grant of its entry expired."""

    def adopted(self, count: int) -> None:
        """Runs of an earlier incarnation of the agent were adopted.

        :param count: number of runs
        """

    def unclaimed_stopped(self, count: int) -> None:
        """Adopted runs were stopped, since no entry claimed them.

        :param count: number of runs
        """

    def stop_overdue(self) -> None:
        """The endpoint did not confirm a stop in time."""

    def heartbeat_ignored(self) -> None:
        """A heartbeat was ignored, at least for now."""

    def renewed(self, fault: str) -> None:
        """A renewal of the lease succeeded or failed.

        :param fault: why it failed; empty if it succeeded
        """
