"""Finds agents for an entry, in addition to those that connect on their own.

Agents keep streams to a few entries. An entry that has too few agents, or none
whose endpoint fits a job, asks the other entries. These invite suitable agents
of theirs to connect to it.
"""

import math

import msgspec

from ferryledge.leases import _entry_events
from ferryledge.leases import _entry_notes
from ferryledge.leases import _jobs
from ferryledge.leases import _peers
from ferryledge.leases import _placement
from ferryledge.leases import _pool
from ferryledge import wire

#: Agents below which an entry asks for more. With fewer, a burst at the entry
#: can't use the capacity of the pool.
MIN_AGENTS = 16
#: Seconds between searches for more agents; shorter than invited agents stay.
_INTERVAL_S = 5.0
#: Seconds after its start in which an entry waits for agents to connect.
_STARTUP_S = 3.0
#: Seconds within which an invited agent connects and reports its state: a
#: round trip to another entry, one to its agent, and a handshake.
_ARRIVE_S = 0.25
#: Seconds after a search in which the same requirement isn't searched again.
_UNSATISFIED_S = 5.0
#: Least seconds between two searches for jobs that fit nowhere, since a search
#: asks every entry and each such job may have another requirement.
_JOB_INTERVAL_S = 0.1
#: Agents that each entry is asked to invite for a job that fits nowhere.
_AGENTS_PER_JOB = 2
#: Most requirements that are remembered; the oldest is dropped.
_MAX_REQUIREMENTS = 200


class _Requirement(msgspec.Struct, frozen=True):
    """What an endpoint needs to run the tasks of a step."""

    service: str
    label: str
    need: wire.Resources


class AgentSearch:
    """Asks other entries for agents, and invites agents for them.

    :param name: the name of this entry
    :param pool: the agents that this entry knows
    :param peers: the other entries
    :param notes: logs decisions
    """

    def __init__(
        self,
        name: str,
        pool: _pool.Pool,
        peers: _peers.EntryPeers,
        notes: _entry_notes.EntryNotes,
    ) -> None:
        self._name = name
        self._pool = pool
        self._peers = peers
        self._notes = notes
        self._started_at: float | None = None
        self._last_search_at = float("-inf")
        self._last_job_search_at = float("-inf")
        #: When each requirement that fitted nowhere was last searched.
        self._searched_at: dict[_Requirement, float] = {}

    def search_if_few(self, now: float) -> list[_entry_events.SendMessage]:
        """Return the messages of a search if there are too few agents."""
        if self._started_at is None:
            self._started_at = now
        is_starting = now - self._started_at < _STARTUP_S
        if is_starting or now - self._last_search_at < _INTERVAL_S:
            return []
        agents = [row.name for row in self._pool if row.connected]
        missing = MIN_AGENTS - len(agents)
        entries = self._peers.entry_names()
        if missing <= 0 or not entries:
            return []
        self._last_search_at = now
        count = math.ceil(missing / len(entries))
        anything = _Requirement("", "", wire.Resources())
        return self._renew_invitations(agents) + self._ask(
            entries, anything, count
        )

    def _renew_invitations(
        self, agents: list[str]
    ) -> list[_entry_events.SendMessage]:
        """Renew the invitations of the connected agents."""
        own_address = self._peers.address_of(self._name)
        if own_address is None:
            return []
        invitation = wire.Invite(own_address)
        return [_entry_events.SendMessage(name, invitation) for name in agents]

    def search_for_job(
        self, now: float, job: _jobs.Job
    ) -> tuple[bool, list[_entry_events.SendMessage]]:
        """Search endpoints for the steps of a job that fit nowhere.

        :return: whether suitable endpoints may still come, and the messages
            to send
        """
        entries = self._peers.entry_names()
        if not entries:
            return False, []
        if not self._pool.is_usable(now):
            # Agents may still connect, or zones may be uncordoned.
            return not self._pool.all_cordoned, []
        may_come = True
        messages: list[_entry_events.SendMessage] = []
        service = job.request.job_class.service
        for step in _placement.infeasible_steps(self._pool, job):
            requirement = _Requirement(service, step.label, step.need)
            searched_at = self._searched_at.get(requirement, float("-inf"))
            if now - searched_at <= _UNSATISFIED_S:
                may_come = may_come and now - searched_at <= _ARRIVE_S
            elif now - self._last_job_search_at >= _JOB_INTERVAL_S:
                self._last_job_search_at = now
                self._remember(requirement, now)
                messages += self._ask(entries, requirement, _AGENTS_PER_JOB)
        return may_come, messages

    def _remember(self, requirement: _Requirement, now: float) -> None:
        self._searched_at.pop(requirement, None)
        if len(self._searched_at) >= _MAX_REQUIREMENTS:
            del self._searched_at[next(iter(self._searched_at))]
        self._searched_at[requirement] = now

    def _ask(
        self, entries: list[str], requirement: _Requirement, count: int
    ) -> list[_entry_events.SendMessage]:
        own_address = self._peers.address_of(self._name)
        if own_address is None:
            return []
        known = tuple(row.name for row in self._pool if row.connected)
        message = wire.InviteAgents(
            own_address,
            requirement.service,
            requirement.label,
            requirement.need,
            count,
            known,
        )
        self._notes.sought(message, len(entries))
        return [_entry_events.SendMessage(entry, message) for entry in entries]

    def invite(
        self, now: float, sought: wire.InviteAgents
    ) -> list[_entry_events.SendMessage]:
        """Return the invitations to send for another entry's search."""
        step = _jobs.JobStep(1, sought.need, label=sought.label)
        suitable = [
            row
            for row in self._pool
            if row.usable(now)
            and row.name not in sought.known
            and sought.service in ("", row.state.service)
            and _placement.could_run(row, step)
        ]
        agents = [row.name for row in suitable[: sought.count]]
        if agents:
            self._notes.invited(sought, agents)
        invitation = wire.Invite(sought.entry)
        return [_entry_events.SendMessage(name, invitation) for name in agents]
