"""When an agent asks entries for the right to renew their runs."""

from collections import abc

from ferryledge.leases import _agent_events
from ferryledge.leases import _owners
from ferryledge.leases import _runs
from ferryledge.leases import _stream_watch

Act = abc.Callable[[_agent_events.AgentAction], None]


class Asking:
    """Asks each entry when that is due, and gives up silent streams.

    :param owners: the entries
    :param runs: what the endpoint holds
    :param watch: looks for streams that owe an answer
    :param act: takes what is to be done
    """

    def __init__(
        self,
        owners: _owners.OwnerTable,
        runs: _runs.RunTable,
        watch: _stream_watch.StreamWatch,
        act: Act,
    ) -> None:
        self._owners = owners
        self._runs = runs
        self._watch = watch
        self._act = act

    def tick(self, now: float) -> None:
        """Send the asks that are due."""
        if now >= self._owners.ask_due_at:
            for owner in self._owners.connected:
                if now >= owner.next_ask_at:
                    self._ask_or_leave(now, owner)
            self._owners.plan_asks()
        for owner in self._watch.reopen_silent(now):
            self._ask(now, owner, at_once=True)

    def _ask_or_leave(self, now: float, owner: _owners.Owner) -> None:
        if self._owners.is_silent(owner, now):
            self._owners.leave(owner.name, owner.incarnation)
            self._act(_agent_events.CloseStream(owner.name))
            return
        self._ask(now, owner)

    def _ask(
        self, now: float, owner: _owners.Owner, at_once: bool = False
    ) -> None:
        busy = self._runs.has_owner(owner.incarnation)
        ask = self._owners.ask(owner, now, busy, at_once)
        self._act(_agent_events.SendMessage(owner.name, ask))
