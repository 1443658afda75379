"""Keeps tickets of several agents ready for clients."""

import random

from ferryledge.core import _front
from ferryledge.core import _options
from ferryledge.core import _peers
from ferryledge.core import _scheduler
from ferryledge import wire

#: Seconds in which agents should have sent the tickets asked for.
_TICKETS_WAIT_S = 1.0
#: Most tickets kept in stock.
_MAX_STOCK = 1024


class TicketStock:
    """Asks agents for tickets before they run out.

    :param options: how many to keep
    :param peers: where messages go out
    :param front: holds the tickets
    :param scheduler: knows which agents are usable
    :param rng: source of all randomness
    """

    def __init__(
        self,
        options: _options.EntryOptions,
        peers: _peers.Peers,
        front: _front.Front,
        scheduler: _scheduler.Scheduler,
        rng: random.Random,
    ) -> None:
        self._peers = peers
        self._front = front
        self._scheduler = scheduler
        self._rng = rng
        self._asked_at = float("-inf")
        self._due = False
        self._wanted = options.ticket_stock

    def add(self, tickets: tuple[str, ...]) -> None:
        """Take in the tickets that an agent sent."""
        self._due = False
        self._front.add_tickets(tickets)

    def refill(self, now: float) -> None:
        """Keep tickets of several agents ready."""
        stock = self._front.tickets
        if self._due:
            if now - self._asked_at < _TICKETS_WAIT_S:
                return
        elif stock >= self._wanted // 2:
            return
        elif now - self._asked_at < _TICKETS_WAIT_S:
            # The stock went too quickly: keep a larger one.
            self._wanted = min(_MAX_STOCK, 2 * self._wanted)
        agents = [row.name for row in self._scheduler.table if row.usable]
        if not agents:
            return
        self._asked_at = now
        self._due = True
        chosen = self._rng.sample(agents, min(4, len(agents)))
        count = max(1, (self._wanted - stock) // len(chosen))
        for name in chosen:
            self._peers.send(now, name, wire.TicketRequest(count))
