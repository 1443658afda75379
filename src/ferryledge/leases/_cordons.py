"""The availability zones that take no new work.

Operators cordon a zone before they take it down. Entries and agents must know
within seconds, even while some of them can't reach the store, so the state is
forwarded between processes. Its version is the offset up to which the
operators' log was read: a delayed or outdated state is ignored.
"""

from ferryledge import wire


class Cordons:
    """Keeps the newest known state of the cordoned zones."""

    def __init__(self) -> None:
        self._state = wire.CordonedZones()

    @property
    def state(self) -> wire.CordonedZones:
        """The newest known state; its version is 0 if there is none."""
        return self._state

    def covers(self, zone: str) -> bool:
        """Return whether a zone takes no new work."""
        return zone in self._state.zones

    def learn(self, state: wire.CordonedZones) -> bool:
        """Store a state; ignore one that isn't newer.

        The first state always counts as a change: peers may still know of a
        cordon that was lifted before this process started.

        :param state: the cordoned zones
        :return: whether the cordoned zones changed
        """
        if not _is_newer(state, self._state):
            return False
        known = self._state
        self._state = state
        return not known.version or state.zones != known.zones

    def is_behind(self, state: wire.CordonedZones) -> bool:
        """Return whether a state is older than the known one and differs."""
        return (
            _is_newer(self._state, state) and state.zones != self._state.zones
        )


def _is_newer(state: wire.CordonedZones, other: wire.CordonedZones) -> bool:
    return state.version > other.version
