"""Names that are remembered for some time."""

from collections import abc

#: Seconds between removals of outdated names.
_EXPIRY_INTERVAL_S = 1.0


class RecentNames:
    """A set of names, each of which is kept until its own time."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}
        self._next_expiry = 0.0

    def __contains__(self, name: str) -> bool:
        return name in self._until

    def items(self) -> abc.Iterable[tuple[str, float]]:
        """Return the names, each with the time until which it is kept."""
        return self._until.items()

    def keep(self, name: str, until: float) -> float:
        """Keep a name until a time, or longer if that was said before.

        :param name: the name
        :param until: monotonic seconds
        :return: until when it is kept, in monotonic seconds
        """
        until = max(until, self._until.get(name, 0.0))
        self._until[name] = until
        return until

    def expire(self, now: float) -> None:
        """Remove the names that are not to be kept any more."""
        if now < self._next_expiry:
            return
        self._next_expiry = now + _EXPIRY_INTERVAL_S
        outdated = [n for n, until in self._until.items() if until <= now]
        for name in outdated:
            del self._until[name]
