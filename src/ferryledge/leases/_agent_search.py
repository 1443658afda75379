"""How an entry finds agents beside those that chose it.

Agents keep streams to a few entries. An entry that has hardly any, or none
whose endpoint can run a job, asks the other entries, which invite fitting
agents of theirs to serve it as well.
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

#: Agents below which an entry seeks more: with fewer, a burst at one entry
#: finds no room that others have.
LEAST_AGENTS = 16
#: Seconds between searches for more agents, less than an invited one stays.
_EVERY_S = 5.0
#: Seconds from its start in which agents come unasked.
_START_S = 3.0
#: Seconds until an invited agent has told its room: a round trip to another
#: entry, one to its agent, and a handshake.
_ARRIVE_S = 0.25
#: Seconds after a vain search for which the same need is taken for hopeless.
_HOPELESS_S = 5.0
#: Seconds between searches for jobs that fit nowhere: many may come that can
#: never be done, each with another need, and a search asks every entry.
_PAUSE_S = 0.1
#: Agents that each entry is asked to invite for a job that fits nowhere.
_FOR_A_JOB = 2
#: Most needs that are remembered; the oldest one is forgotten.
_MOST_NEEDS = 200


class _Need(msgspec.Struct, frozen=True):
    """What an endpoint must have for a step's tasks."""

    service: str
    label: str
    need: wire.Resources


class AgentSearch:
    """Asks other entries for agents, and invites agents for them.

    :param name: this entry
    :param pool: its agents
    :param peers: the other entries
    :param notes: what is decided
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
        self._sought_at = float("-inf")
        self._sought_for_a_job_at = float("-inf")
        #: When each need was sought that fitted nowhere.
        self._needs: dict[_Need, float] = {}

    def search_if_few(self, now: float) -> list[_entry_events.SendMessage]:
        """Return what to ask of other entries, if there are few agents."""
        if self._started_at is None:
            self._started_at = now
        early = now - self._started_at < _START_S
        if early or now - self._sought_at < _EVERY_S:
            return []
        names = [row.name for row in self._pool if row.connected]
        missing = LEAST_AGENTS - len(names)
        entries = self._peers.entry_names()
        if missing <= 0 or not entries:
            return []
        self._sought_at = now
        each = math.ceil(missing / len(entries))
        nothing = _Need("", "", wire.Resources())
        return self._keep(names) + self._ask(entries, nothing, each)

    def _keep(self, names: list[str]) -> list[_entry_events.SendMessage]:
        """Let agents stay that were invited before."""
        own = self._peers.address_of(self._name)
        if own is None:
            return []
        invitation = wire.Invite(own)
        return [_entry_events.SendMessage(name, invitation) for name in names]

    def search_for_job(
        self, now: float, job: _jobs.Job
    ) -> tuple[bool, list[_entry_events.SendMessage]]:
        """Seek endpoints for the steps of a job that fit nowhere.

        :return: whether some may still come, and what to send
        """
        entries = self._peers.entry_names()
        if not entries:
            return False, []
        if not self._pool.is_usable(now):
            # Its own agents are still to come, or its zones taken back.
            return not self._pool.all_cordoned, []
        hope = True
        messages: list[_entry_events.SendMessage] = []
        service = job.request.job_class.service
        for step in _placement.unfit_steps(self._pool, job):
            need = _Need(service, step.label, step.need)
            sought_at = self._needs.get(need, float("-inf"))
            if now - sought_at <= _HOPELESS_S:
                hope = hope and now - sought_at <= _ARRIVE_S
            elif now - self._sought_for_a_job_at >= _PAUSE_S:
                self._sought_for_a_job_at = now
                self._note(need, now)
                messages += self._ask(entries, need, _FOR_A_JOB)
        return hope, messages

    def _note(self, need: _Need, now: float) -> None:
        self._needs.pop(need, None)
        if len(self._needs) >= _MOST_NEEDS:
            del self._needs[next(iter(self._needs))]
        self._needs[need] = now

    def _ask(
        self, entries: list[str], need: _Need, count: int
    ) -> list[_entry_events.SendMessage]:
        own = self._peers.address_of(self._name)
        if own is None:
            return []
        known = tuple(row.name for row in self._pool if row.connected)
        message = wire.SeekAgents(
            own, need.service, need.label, need.need, count, known
        )
        self._notes.sought(message, len(entries))
        return [_entry_events.SendMessage(entry, message) for entry in entries]

    def invite(
        self, now: float, sought: wire.SeekAgents
    ) -> list[_entry_events.SendMessage]:
        """Return the invitations for another entry's search."""
        step = _jobs.JobStep(1, sought.need, label=sought.label)
        found = [
            row
            for row in self._pool
            if row.usable(now)
            and row.name not in sought.known
            and sought.service in ("", row.state.service)
            and _placement.fits(row, step)
        ]
        names = [row.name for row in found[: sought.count]]
        if names:
            self._notes.invited(sought, names)
        invitation = wire.Invite(sought.entry)
        return [_entry_events.SendMessage(name, invitation) for name in names]
