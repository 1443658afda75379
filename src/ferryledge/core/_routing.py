"""Which entry schedules a job, and which endpoints fall to this entry."""

import random

from ferryledge.core import _options
from ferryledge.core import _peers
from ferryledge.core import _requests
from ferryledge.core import _scheduler
from ferryledge import ledger
from ferryledge import placement
from ferryledge import wire

#: Added to the load up to which a job of one task is placed directly.
_SMALL_JOB_BONUS = 0.4


class Routing:
    """Spreads pools and endpoints over the entries that are up.

    :param identity: this process
    :param options: how to decide
    :param peers: the connected peers
    :param scheduler: this entry's own
    :param rng: source of all randomness
    """

    def __init__(
        self,
        identity: _options.Identity,
        options: _options.EntryOptions,
        peers: _peers.Peers,
        scheduler: _scheduler.Scheduler,
        rng: random.Random,
    ) -> None:
        self._identity = identity
        self._options = options
        self._peers = peers
        self._scheduler = scheduler
        self._rng = rng
        #: Whether this entry takes no new jobs.
        self.draining = False

    def places_itself(self, scheduler: _peers.Peer, tasks: int) -> bool:
        """Return whether to place a job here, as the pool has much room.

        That saves the way to the scheduler. Each entry then uses the
        endpoints that fall to it, so that entries rarely meet.
        """
        limit = self._options.direct_load
        if limit:
            # The way to the scheduler weighs most on the smallest jobs.
            limit += _SMALL_JOB_BONUS / tasks
        if scheduler.load >= limit:
            return False
        if self.draining:
            return False
        return self._scheduler.can_place(tasks, self._options.direct_margin)

    def share_endpoints(self) -> None:
        """Work out which endpoints fall to this entry."""
        names = [
            peer.name
            for peer in self._peers.of_role(wire.Role.ENTRY)
            if not peer.leaving
        ]
        names.append(self._identity.name)
        own = frozenset(
            row.name
            for row in self._scheduler.table
            if placement.rank(row.name, names)[0] == self._identity.name
        )
        agents = [row.name for row in self._scheduler.table]
        pools = placement.pool_count(len(agents), self._options.pool_size)
        mine = {
            pool for pool in range(pools) if self._scheduler_of(pool) is None
        }
        endpoints = None
        if 0 < len(mine) < pools:
            endpoints = frozenset(
                name
                for name in agents
                if placement.pool_of(name, pools) in mine
            )
        self._scheduler.share(own, bool(mine), endpoints)

    def choose_scheduler(
        self, request: _requests.JobRequest
    ) -> _peers.Peer | None:
        """Return the entry that schedules a job; none is this one."""
        agents = self._peers.of_role(wire.Role.AGENT)
        pools = placement.pool_count(len(agents), self._options.pool_size)
        if request.ticket:
            minter = ledger.issuer_of(request.ticket)
            pool = placement.pool_of(minter, pools)
        else:
            pool = self._choose_pool(pools)
        return self._scheduler_of(pool)

    def _choose_pool(self, pools: int) -> int:
        if pools == 1:
            return 0
        first, second = self._rng.sample(range(pools), 2)
        return min(first, second, key=self._pool_waiting)

    def _pool_waiting(self, pool: int) -> int:
        peer = self._scheduler_of(pool)
        return self._scheduler.waiting if peer is None else peer.waiting

    def _scheduler_of(self, pool: int) -> _peers.Peer | None:
        entries = {
            peer.name: peer
            for peer in self._peers.of_role(wire.Role.ENTRY)
            if not (peer.leaving or peer.is_suspect)
        }
        names = list(entries)
        if not self.draining:
            names.append(self._identity.name)
        if not names:
            return None
        best = placement.rank(f"pool-{pool}", names)[0]
        return entries.get(best)
