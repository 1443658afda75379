"""How many tasks may be tried again while others wait for their first try.

It answers a pool in which much fails: each failed task comes again, and
second tries would take the room of first ones just when there is least. They
never exceed a share of the starts. One without budget waits: starts of
others, and time, bring it.
"""

#: Second tries for each first one: a pool that fails everything is asked for
#: a fifth more than callers asked for.
_SHARE = 0.2
#: Second tries that are allowed each second whatever starts: a few jobs on an
#: idle pool need no others to start.
_EACH_S = 10.0
#: Second tries that may be saved up: those of one endpoint's failures.
_MOST_SAVED = 10.0


class RetryBudget:
    """Counts starts, and what they allow to be tried again."""

    def __init__(self) -> None:
        self._saved = _MOST_SAVED
        self._at = 0.0

    def note_started(self, now: float, first: int, again: int) -> None:
        """Take in what was ordered.

        :param now: monotonic seconds
        :param first: tasks that were tried for the first time
        :param again: tasks that were tried again after they failed
        """
        self._let_pass(now)
        self._add(_SHARE * first - again)

    def left(self, now: float) -> int:
        """Return how many tasks may be tried again now."""
        self._let_pass(now)
        return max(0, int(self._saved))

    def _let_pass(self, now: float) -> None:
        passed = max(0.0, now - self._at)
        self._at = max(now, self._at)
        self._add(_EACH_S * passed)

    def _add(self, tokens: float) -> None:
        self._saved = min(_MOST_SAVED, self._saved + tokens)
