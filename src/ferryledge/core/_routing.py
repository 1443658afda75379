"""Assigns jobs and endpoints to entries."""

import random

from ferryledge.core import _options
from ferryledge.core import _peers
from ferryledge.core import _requests
from ferryledge.core import _scheduler
from ferryledge import ledger
from ferryledge import placement
from ferryledge import wire

#: Added to the load limit for local placement, divided by the number of tasks
#: of the job.
_SMALL_JOB_BONUS = 0.4


class Routing:
    """Distributes pools and endpoints over the connected entries.

    :param identity: this process
    :param options: limits and timeouts
    :param peers: the connected peers
    :param scheduler: the scheduler of this entry
    :param rng: random number generator for all random choices
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
        #: Whether this entry is draining and accepts no new jobs.
        self.draining = False

    def should_place_locally(self, scheduler: _peers.Peer, tasks: int) -> bool:
        """Return whether to place a job locally while load is low.

        Local placement saves a round trip to the scheduler. Each entry uses
        the endpoints assigned to it, so entries rarely compete for a slot.

        :param scheduler: the entry that would schedule the job
        :param tasks: number of tasks of the job
        """
        max_load = self._options.direct_load
        if max_load:
            # The round trip costs the smallest jobs the most.
            max_load += _SMALL_JOB_BONUS / tasks
        if scheduler.load >= max_load:
            return False
        if self.draining:
            return False
        return self._scheduler.can_place(tasks, self._options.direct_margin)

    def share_endpoints(self) -> None:
        """Compute and set the endpoints assigned to this entry."""
        names = [
            peer.name
            for peer in self._peers.of_role(wire.Role.ENTRY)
            if not peer.leaving
        ]
        names.append(self._identity.name)
        own_endpoints = frozenset(
            row.name
            for row in self._scheduler.table
            if placement.rank(row.name, names)[0] == self._identity.name
        )
        endpoint_names = [row.name for row in self._scheduler.table]
        pools = placement.pool_count(
            len(endpoint_names), self._options.pool_size
        )
        own_pools = {
            pool for pool in range(pools) if self._scheduler_of(pool) is None
        }
        pool_endpoints = None
        if 0 < len(own_pools) < pools:
            pool_endpoints = frozenset(
                name
                for name in endpoint_names
                if placement.pool_of(name, pools) in own_pools
            )
        self._scheduler.share(own_endpoints, bool(own_pools), pool_endpoints)

    def choose_scheduler(
        self, request: _requests.JobRequest
    ) -> _peers.Peer | None:
        """Return the entry that schedules a job; ``None`` for this entry."""
        agents = self._peers.of_role(wire.Role.AGENT)
        pools = placement.pool_count(len(agents), self._options.pool_size)
        if request.ticket:
            issuer = ledger.issuer_of(request.ticket)
            pool = placement.pool_of(issuer, pools)
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
        scheduler_name = placement.rank(f"pool-{pool}", names)[0]
        return entries.get(scheduler_name)
