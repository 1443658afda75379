"""Agents that a scheduler may have used for this front's jobs.

The front sends each scheduler the list of agents that the front can reach. If
the scheduler is lost, the front queries every agent that was on the list since
the job was submitted to it, because an agent that was removed from the list
may still hold tasks.
"""

import dataclasses


@dataclasses.dataclass(slots=True, eq=False)
class Group:
    """Agents that may hold a scheduler's tasks.

    Parts share a group. Agents are added to it while parts refer to it, and
    never removed.
    """

    #: Process keys of the agents.
    agents: set[str]


class ReachableAgents:
    """Groups of agents that one scheduler may have used."""

    def __init__(self) -> None:
        self._groups: list[Group] = []
        self._sent_agents: frozenset[str] | None = None

    @property
    def group(self) -> Group:
        """The group for parts that are sent to the scheduler now."""
        return self._groups[-1]

    def update(self, agents: frozenset[str]) -> bool:
        """Record the agents that the front can reach now.

        :param agents: their process keys
        :return: whether the list changed and must be sent to the scheduler
        """
        if agents == self._sent_agents:
            return False
        needs_new_group = (
            self._sent_agents is None or not self._sent_agents <= agents
        )
        for group in self._groups:
            group.agents.update(agents)
        if needs_new_group:
            self._groups.append(Group(set(agents)))
        self._sent_agents = agents
        return True

    def keep_only(self, used: list[Group]) -> None:
        """Drop the groups that no part refers to, except the newest.

        :param used: the groups that parts refer to
        """
        self._groups = [
            group
            for group in self._groups
            if group is self._groups[-1] or group in used
        ]
