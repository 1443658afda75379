"""Teams' quotas, shared between pools without a central count.

Each pool enforces the part of a team's quota that its share of the
region's slots gives it, so the sum over pools never exceeds the quota by
more than the rounding: one slot a pool. While two schedulers believe to
hold the same pool, the overshoot is at most the pool's part once more.
"""

import math


class QuotaShares:
    """Counts the slots that teams use in one pool."""

    def __init__(self) -> None:
        self._used: dict[str, int] = {}
        self._quotas: dict[str, int] = {}
        self._share = 1.0

    def set_quotas(self, quotas: dict[str, int]) -> None:
        """Replace the teams' quotas; 0 is no limit."""
        self._quotas = dict(quotas)

    def set_share(self, share: float) -> None:
        """Set the pool's share of the region's slots, from 0 to 1."""
        self._share = share

    def limit(self, team: str) -> float:
        """Return the slots that a team may use in this pool."""
        quota = self._quotas.get(team, 0)
        if not quota:
            return math.inf
        return max(1, math.ceil(quota * self._share))

    def used(self, team: str) -> int:
        """Return the slots that a team uses in this pool."""
        return self._used.get(team, 0)

    def active(self) -> frozenset[str]:
        """Return the teams that use slots."""
        return frozenset(self._used)

    def room(self, team: str) -> float:
        """Return the slots that a team may still take."""
        return max(0.0, self.limit(team) - self.used(team))

    def take(self, team: str, slots: int) -> None:
        """Count slots as used."""
        self._used[team] = self.used(team) + slots

    def give_back(self, team: str, slots: int) -> None:
        """Count slots as free again."""
        left = self.used(team) - slots
        if left > 0:
            self._used[team] = left
        else:
            self._used.pop(team, None)
