"""Which availability zones take no new work.

Operators cordon a zone before it is taken away. Whoever starts work has to
know within seconds, also while the store turns some processes away, so what
one entry reads all entries and agents learn. A state is numbered by how far
the operators' log was read for it: one that was held up on its way, or read
from a store that is behind, neither brings a cordon back nor ends one.
"""

from ferryledge import wire


class Cordons:
    """The newest state that this process heard of."""

    def __init__(self) -> None:
        self._state = wire.CordonedZones()

    @property
    def state(self) -> wire.CordonedZones:
        """The newest state; version 0 is none."""
        return self._state

    def covers(self, zone: str) -> bool:
        """Return whether a zone takes no new work."""
        return zone in self._state.zones

    def learn(self, state: wire.CordonedZones) -> bool:
        """Take in a state; an older one changes nothing.

        The first one is news in any case: others may know of a cordon that
        was taken back before this process started.

        :return: whether that is news
        """
        if not _is_newer(state, self._state):
            return False
        known = self._state
        self._state = state
        return not known.version or state.zones != known.zones

    def is_behind(self, state: wire.CordonedZones) -> bool:
        """Return whether a state is older than this one, and differs."""
        return (
            _is_newer(self._state, state) and state.zones != self._state.zones
        )


def _is_newer(one: wire.CordonedZones, other: wire.CordonedZones) -> bool:
    return one.version > other.version
