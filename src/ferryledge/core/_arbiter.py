"""The tickets that an agent minted, and its word on them."""

from collections import abc

from ferryledge.core import _batches
from ferryledge.core import _convert
from ferryledge.core import _options
from ferryledge import ledger
from ferryledge import outcomes
from ferryledge import wire

#: Most tickets minted for one request.
_MAX_MINTED = 1024

Send = abc.Callable[[float, str, wire.Message], object]


class Arbiter:
    """Judges which submission may use a ticket, and keeps its answer.

    :param identity: this process
    :param life_s: seconds for which a ticket and its outcome are kept
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
        """Submissions that run under tickets from here."""
        return self._tickets.in_progress

    def expire(self, now: float) -> None:
        """Forget tickets whose life has ended."""
        self._tickets.expire(now)

    def on_message(
        self, now: float, owner: str, message: wire.Message
    ) -> None:
        """Answer a message about tickets; others are passed over."""
        match message:
            case wire.TicketRequest(count):
                minted = self._tickets.mint(min(count, _MAX_MINTED), now)
                self._send(now, owner, wire.Tickets(minted))
            case wire.Authorise():
                self._judge(now, owner, message)
            case wire.Settle():
                self._on_settle(message)
            case _:
                return

    def may_use(
        self, now: float, owner: str, message: wire.StartTasks
    ) -> bool:
        """Return whether tasks may start; if not, their owner is told why."""
        asked = wire.Authorise(
            message.ticket, message.submission, message.label
        )
        return self._judge(now, owner, asked, tell_granted=False)

    def _judge(
        self,
        now: float,
        owner: str,
        asked: wire.Authorise,
        tell_granted: bool = True,
    ) -> bool:
        verdict = self._tickets.authorise(
            asked.ticket, asked.submission, asked.digest, owner
        )
        granted = verdict.status is ledger.TicketStatus.GRANTED
        if tell_granted or not granted:
            answer = _convert.verdict(asked.ticket, asked.submission, verdict)
            self._send(now, owner, answer)
        return granted

    def revoke(self, ticket: str, submission: str) -> None:
        """Give a ticket back whose submission started nothing."""
        self._tickets.revoke(ticket, submission)

    def _on_settle(self, message: wire.Settle) -> None:
        if message.outcome.tag == "failed_not_run":
            self._tickets.revoke(message.ticket, message.submission)
            return
        self._tickets.settle(
            message.ticket, message.submission, message.outcome
        )

    def settle_lost(self, owner: str) -> None:
        """Settle what a lost scheduler left open: it may have run."""
        lost = wire.OutcomeRecord(
            tag="failed_may_have_run",
            reason=outcomes.Reason.ENTRY_LOST,
            step=outcomes.Step.AUTHORISE,
            peer=self._identity.name,
        )
        self._tickets.settle_owner(owner, lost)

    def settle_batch(self, batch: _batches.Batch) -> None:
        """Keep the outcome of a job that ran here as a whole."""
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
            ordered = [batch.results[i] for i in sorted(batch.results)]
            outcome = wire.OutcomeRecord(
                tag="complete",
                results=tuple(ordered),
                task_tags=("complete",) * len(ordered),
            )
        self._tickets.settle(batch.ticket, batch.submission, outcome)
