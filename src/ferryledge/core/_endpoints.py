"""Handles endpoints that connect, disconnect and leave."""

from ferryledge.core import _answering
from ferryledge.core import _jobs
from ferryledge.core import _pool_state
from ferryledge.core import _ticketing
from ferryledge import ledger
from ferryledge import outcomes
from ferryledge import placement
from ferryledge import wire


class Endpoints:
    """Keeps the table of endpoints up to date.

    :param state: the state of the pool
    :param answering: fails the jobs of a lost endpoint
    :param ticketing: repeats ticket requests when an agent reconnects
    """

    def __init__(
        self,
        state: _pool_state.PoolState,
        answering: _answering.Answering,
        ticketing: _ticketing.Ticketing,
    ) -> None:
        self._state = state
        self._answering = answering
        self._ticketing = ticketing

    def agent_up(self, now: float, hello: wire.Hello) -> None:
        """Add an endpoint, or reconnect an endpoint whose stream broke."""
        row = self._state.table.find(hello.name)
        if row is not None and row.incarnation == hello.incarnation:
            row.connected = True
            row.leaving = row.leaving or hello.leaving
            row.progress_at = now
            self._state.table.refresh(row)
            self._reconcile(now, row)
            return
        if row is not None:
            self.agent_gone(now, row)
        self._state.health_tracker.join(hello.name)
        self._state.run_times.forget_endpoint(hello.name)
        self._state.table.put(
            placement.EndpointRow(
                hello.name,
                hello.incarnation,
                hello.zone,
                hello.slots,
                hello.connections,
                hello.memory_mb,
                wire.process_key(hello.name, hello.incarnation),
                leaving=hello.leaving,
                progress_at=now,
            )
        )

    def agent_down(self, now: float, name: str) -> None:
        """Mark an endpoint as disconnected.

        It stays in the table until the grace period for reconnecting ends.
        """
        row = self._state.table.find(name)
        if row is None:
            return
        row.connected = False
        row.lost_at = now
        self._state.table.refresh(row)

    def agent_leaving(self, name: str) -> None:
        """Stop sending new tasks to an endpoint."""
        row = self._state.table.find(name)
        if row is not None and not row.leaving:
            row.leaving = True
            self._state.table.refresh(row)

    def _reconcile(self, now: float, row: placement.EndpointRow) -> None:
        """Repeat pending requests and ask the agent about bound tasks."""
        for job in list(self._state.jobs.values()):
            is_pending = job.ticket_use is _jobs.TicketUse.PENDING
            if is_pending and ledger.issuer_of(job.message.ticket) == row.name:
                self._ticketing.authorise(now, job, row)
        if not row.bound:
            return
        bound = list(row.bound.values())
        message = wire.Reconcile(
            tuple(binding.seq for binding in bound),
            tuple(binding.submission for binding in bound),
        )
        self._state.peers.send(now, row.name, message)

    def agent_gone(self, now: float, row: placement.EndpointRow) -> None:
        """Remove a lost endpoint and fail the jobs that depend on it."""
        submissions = {binding.submission for binding in row.bound.values()}
        unauthorised = [
            job
            for job in self._state.jobs.values()
            if job.ticket_use is _jobs.TicketUse.PENDING
            and ledger.issuer_of(job.message.ticket) == row.name
        ]
        self._state.table.drop(row.name)
        self._state.health_tracker.leave(row.name)
        for job in unauthorised:
            # Nothing runs before the verdict, so a client that has not used
            # the ticket before may take another one.
            self._answering.fail(
                now,
                job,
                outcomes.Reason.TICKET_LOST,
                outcomes.Step.AUTHORISE,
                row.name,
            )
        for submission in submissions:
            lost_job = self._state.jobs.get(submission)
            if lost_job is not None:
                self._answering.fail(
                    now,
                    lost_job,
                    outcomes.Reason.AGENT_LOST,
                    outcomes.Step.RUN,
                    row.name,
                )
