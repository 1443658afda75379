"""Workspaces' quotas, divided between pools without a central count.

Each pool enforces a part of a workspace's quota in proportion to its share
of the region's slots. The parts are rounded up, so their sum exceeds the
quota by at most one slot per pool. While two schedulers both own a pool,
its part may be used twice.
"""

import math


class QuotaShares:
    """Tracks the slots that workspaces use in one pool."""

    def __init__(self) -> None:
        self._used: dict[str, int] = {}
        self._quotas: dict[str, int] = {}
        self._share = 1.0

    def set_quotas(self, quotas: dict[str, int]) -> None:
        """Replace all quotas, in slots by workspace; 0 is no limit."""
        self._quotas = dict(quotas)

    def set_share(self, share: float) -> None:
        """Set the pool's share of the region's slots, from 0 to 1."""
        self._share = share

    def limit(self, workspace: str) -> float:
        """Return the most slots that a workspace may use in this pool."""
        quota = self._quotas.get(workspace, 0)
        if not quota:
            return math.inf
        return max(1, math.ceil(quota * self._share))

    def used(self, workspace: str) -> int:
        """Return the slots that a workspace uses in this pool."""
        return self._used.get(workspace, 0)

    def active(self) -> frozenset[str]:
        """Return the workspaces that use slots in this pool."""
        return frozenset(self._used)

    def headroom(self, workspace: str) -> float:
        """Return the slots that are left of a workspace's limit."""
        return max(0.0, self.limit(workspace) - self.used(workspace))

    def acquire(self, workspace: str, slots: int) -> None:
        """Record slots as used."""
        self._used[workspace] = self.used(workspace) + slots

    def release(self, workspace: str, slots: int) -> None:
        """Record used slots as free."""
        remaining = self.used(workspace) - slots
        if remaining > 0:
            self._used[workspace] = remaining
        else:
            self._used.pop(workspace, None)
