"""Keeps a stock of tickets from several agents for clients."""

import random

from ferryledge.core import _front
from ferryledge.core import _options
from ferryledge.core import _peers
from ferryledge.core import _scheduler
from ferryledge import wire

#: Seconds before unanswered requests are repeated. A stock that needs a refill
#: sooner than this is enlarged.
_REQUEST_TIMEOUT_S = 1.0
#: Maximum number of tickets in stock.
_MAX_STOCK = 1024


class TicketStock:
    """Requests tickets from agents when the stock is half used up.

    :param options: options with the initial size of the stock
    :param peers: sends the requests
    :param front: stores the tickets
    :param scheduler: has the table of usable agents
    :param rng: chooses the agents
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
        self._requested_at = float("-inf")
        self._request_pending = False
        self._target_size = options.ticket_stock

    def add(self, tickets: tuple[str, ...]) -> None:
        """Add the tickets that an agent sent."""
        self._request_pending = False
        self._front.add_tickets(tickets)

    def refill(self, now: float) -> None:
        """Request more tickets if fewer than half of the target are left.

        :param now: monotonic seconds
        """
        stock = self._front.tickets
        if self._request_pending:
            if now - self._requested_at < _REQUEST_TIMEOUT_S:
                return
        elif stock >= self._target_size // 2:
            return
        elif now - self._requested_at < _REQUEST_TIMEOUT_S:
            # Demand is high: enlarge the stock.
            self._target_size = min(_MAX_STOCK, 2 * self._target_size)
        agents = [row.name for row in self._scheduler.table if row.usable]
        if not agents:
            return
        self._requested_at = now
        self._request_pending = True
        chosen = self._rng.sample(agents, min(4, len(agents)))
        count = max(1, (self._target_size - stock) // len(chosen))
        for name in chosen:
            self._peers.send(now, name, wire.TicketRequest(count))
