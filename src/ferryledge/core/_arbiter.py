"""Authorises submissions that use the tickets an agent minted.

A ticket admits one submission of a request. Its outcome is kept, so that a
repeated request gets the same answer instead of running twice.
"""

from collections import abc

from ferryledge.core import _batches
from ferryledge.core import _convert
from ferryledge.core import _options
from ferryledge import ledger
from ferryledge import outcomes
from ferryledge import wire

#: Maximum number of tickets minted for one request.
_MAX_TICKETS_PER_REQUEST = 1024

Send = abc.Callable[[float, str, wire.Message], object]


class Arbiter:
    """Decides which submission may use a ticket and keeps its outcome.

    :param identity: identity of this process
    :param life_s: how long a ticket and its outcome are kept, in seconds
    :param send: sends a message to an owner, by its incarnation
    """

    def __init__(
        self, identity: _options.Identity, life_s: float, send: Send
    ) -> None:
        self._identity = identity
        self._send = send
        self._tickets: ledger.TicketLedger[wire.OutcomeRecord] = (
            ledger.TicketLedger(identity.name, identity.incarnation, life_s)
        )

    @property
    def in_progress(self) -> int:
        """Number of submissions that run under tickets minted here."""
        return self._tickets.in_progress

    def expire(self, now: float) -> None:
        """Remove the tickets that have expired.

        :param now: monotonic seconds
        """
        self._tickets.expire(now)

    def on_message(
        self, now: float, owner: str, message: wire.Message
    ) -> None:
        """Process a message about tickets; ignore any other message.

        :param now: monotonic seconds
        :param owner: incarnation of the sender
        :param message: the message
        """
        match message:
            case wire.TicketRequest(count):
                minted = self._tickets.mint(
                    min(count, _MAX_TICKETS_PER_REQUEST), now
                )
                self._send(now, owner, wire.Tickets(minted))
            case wire.Authorise():
                self._authorise(now, owner, message)
            case wire.Settle():
                self._on_settle(message)
            case _:
                return

    def authorise_start(
        self, now: float, owner: str, message: wire.StartTasks
    ) -> bool:
        """Return whether tasks may start under their ticket.

        A negative verdict is sent to the owner.

        :param now: monotonic seconds
        :param owner: incarnation of the scheduler that sent the tasks
        :param message: the tasks and their ticket
        """
        request = wire.Authorise(
            message.ticket, message.submission, message.label
        )
        return self._authorise(now, owner, request, send_if_granted=False)

    def _authorise(
        self,
        now: float,
        owner: str,
        request: wire.Authorise,
        send_if_granted: bool = True,
    ) -> bool:
        verdict = self._tickets.authorise(
            request.ticket, request.submission, request.digest, owner
        )
        granted = verdict.status is ledger.TicketStatus.GRANTED
        if send_if_granted or not granted:
            message = _convert.verdict(
                request.ticket, request.submission, verdict
            )
            self._send(now, owner, message)
        return granted

    def revoke(self, ticket: str, submission: str) -> None:
        """Withdraw the authorisation of a submission that ran no task.

        The ticket becomes usable again.
        """
        self._tickets.revoke(ticket, submission)

    def _on_settle(self, message: wire.Settle) -> None:
        if message.outcome.tag == "failed_not_run":
            self._tickets.revoke(message.ticket, message.submission)
            return
        self._tickets.settle(
            message.ticket, message.submission, message.outcome
        )

    def repeat_verdicts(
        self, now: float, owner: str, running: abc.Set[str]
    ) -> None:
        """Repeat the authorisations of a scheduler that reconnected.

        It settles those of jobs that it has no longer, whose outcome may have
        been lost with the stream.

        :param now: monotonic seconds
        :param owner: incarnation of the scheduler
        :param running: submissions that run on this agent, which settles them
        """
        granted: ledger.TicketVerdict[wire.OutcomeRecord] = (
            ledger.TicketVerdict(ledger.TicketStatus.GRANTED)
        )
        for ticket, submission in self._tickets.open_uses(owner):
            if submission not in running:
                message = _convert.verdict(ticket, submission, granted)
                self._send(now, owner, message)

    def settle_lost_owner(self, owner: str) -> None:
        """Settle a lost scheduler's open tickets: the jobs may have run."""
        lost = wire.OutcomeRecord(
            tag="failed_may_have_run",
            reason=outcomes.Reason.ENTRY_LOST,
            step=outcomes.Step.AUTHORISE,
            peer=self._identity.name,
        )
        self._tickets.settle_owner(owner, lost)

    def settle_batch(self, batch: _batches.Batch) -> None:
        """Record the outcome of a job that ran entirely on this agent.

        If no task reached the endpoint, the authorisation is withdrawn
        instead, and the ticket becomes usable again.
        """
        if not batch.ticket:
            return
        if batch.unstarted and not batch.failed and not batch.results:
            self._tickets.revoke(batch.ticket, batch.submission)
            return
        if batch.failed or batch.unstarted:
            outcome = wire.OutcomeRecord(
                tag="failed_may_have_run",
                reason=outcomes.Reason.TASK_FAILED,
                step=outcomes.Step.RUN,
                peer=self._identity.name,
            )
        else:
            results = [batch.results[i] for i in sorted(batch.results)]
            outcome = wire.OutcomeRecord(
                tag="complete",
                results=tuple(results),
                task_tags=("complete",) * len(results),
            )
        self._tickets.settle(batch.ticket, batch.submission, outcome)
