"""Workspaces' quotas, shared between pools without a central count.

Each pool enforces the part of a workspace's quota that its share of the
region's slots gives it, so the sum over pools never exceeds the quota by
more than the rounding: one slot a pool. While two schedulers believe to
hold the same pool, the overshoot is at most the pool's part once more.
"""

import math


class QuotaShares:
    """Counts the slots that workspaces use in one pool."""

    def __init__(self) -> None:
        self._used: dict[str, int] = {}
        self._quotas: dict[str, int] = {}
        self._share = 1.0

    def set_quotas(self, quotas: dict[str, int]) -> None:
        """Replace the workspaces' quotas; 0 is no limit."""
        self._quotas = dict(quotas)

    def set_share(self, share: float) -> None:
        """Set the pool's share of the region's slots, from 0 to 1."""
        self._share = share

    def limit(self, workspace: str) -> float:
        """Return the slots that a workspace may use in this pool."""
        quota = self._quotas.get(workspace, 0)
        if not quota:
            return math.inf
        return max(1, math.ceil(quota * self._share))

    def used(self, workspace: str) -> int:
        """Return the slots that a workspace uses in this pool."""
        return self._used.get(workspace, 0)

    def active(self) -> frozenset[str]:
        """Return the workspaces that use slots."""
        return frozenset(self._used)

    def room(self, workspace: str) -> float:
        """Return the slots that a workspace may still take."""
        return max(0.0, self.limit(workspace) - self.used(workspace))

    def take(self, workspace: str, slots: int) -> None:
        """Count slots as used."""
        self._used[workspace] = self.used(workspace) + slots

    def give_back(self, workspace: str, slots: int) -> None:
        """Count slots as free again."""
        left = self.used(workspace) - slots
        if left > 0:
            self._used[workspace] = left
        else:
            self._used.pop(workspace, None)
