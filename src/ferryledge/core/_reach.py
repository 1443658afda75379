"""Which agents a scheduler may have used for this front's jobs.

The front tells each scheduler the agents that it can reach itself. Should
the scheduler be lost, the front asks all that were told since the job was
handed over: an agent that was taken off the list may still have been used.
"""

import dataclasses


@dataclasses.dataclass(slots=True, eq=False)
class Group:
    """Agents, as process keys, that may hold a scheduler's tasks.

    Parts share a group; it grows while parts refer to it.
    """

    agents: set[str]


class Reach:
    """The groups of one scheduler."""

    def __init__(self) -> None:
        self._groups: list[Group] = []
        self._told: frozenset[str] | None = None

    @property
    def group(self) -> Group:
        """The group for parts that are handed over now."""
        return self._groups[-1]

    def tell(self, agents: frozenset[str]) -> bool:
        """Note the agents that can be reached now.

        :return: whether the scheduler must be told
        """
        if agents == self._told:
            return False
        shrunk = self._told is None or not self._told <= agents
        for group in self._groups:
            group.agents.update(agents)
        if shrunk:
            self._groups.append(Group(set(agents)))
        self._told = agents
        return True

    def keep_only(self, used: list[Group]) -> None:
        """Drop the groups that no part refers to, but the newest."""
        self._groups = [
            group
            for group in self._groups
            if group is self._groups[-1] or group in used
        ]
