"""What the cores count. The bases count nothing; shells override them."""

from ferryledge import wire


class EntryMeter:
    """Counts an entry's decisions."""

    def answered(
        self, outcome: str, reason: str, waited_s: float, slowdown: float
    ) -> None:
        """A job was answered.

        :param outcome: tag of the outcome
        :param reason: why it is not complete; empty if it is
        :param waited_s: seconds since its arrival
        :param slowdown: that against its objective
        """

    def first_order(self, waited_s: float) -> None:
        """A job's first runs were ordered, after that many seconds."""

    def deferred(self) -> None:
        """A job was put behind all that can be in time."""

    def ordered(self, count: int) -> None:
        """Runs were ordered."""

    def not_started(self, reason: wire.NotStarted) -> None:
        """An agent released a run."""

    def ended(self, how: wire.HowEnded) -> None:
        """A run ended."""

    def moved(self) -> None:
        """A run was moved off a slow endpoint."""

    def retry_delayed(self) -> None:
        """A task waits for the budget of second tries."""

    def health_changed(self) -> None:
        """An endpoint was ejected, or taken back."""

    def handover(self, what: str) -> None:
        """Something happened to a job between two entries.

        :param what: such as ``offered`` or ``lost``
        """


class AgentMeter:
    """Counts an agent's decisions."""

    def order(self, reason: str, count: int) -> None:
        """Runs were taken, or released for a reason.

        :param reason: why not; empty if they were taken
        :param count: how many
        """

    def over(self, how: wire.HowEnded, held_s: float) -> None:
        """A run is over, after that many seconds."""

    def order_unanswered(self) -> None:
        """An order went without an answer."""

    def outage(self) -> None:
        """The endpoint is back after an outage that was not announced."""

    def stream_suspected(self) -> None:
        """A stream counts as silent; a new one is opened beside it."""

    def grant_expired(self) -> None:
        """A run is stopped for want of its entry's grant."""

    def heartbeat_ignored(self) -> None:
        """A heartbeat is not believed, or not yet."""

    def renewed(self, fault: str) -> None:
        """The lease was renewed, or not for a fault.

        :param fault: why not; empty if it was
        """
