"""Selects the entries that a job is registered with.

The registrars of a job rank first among the other entries by a hash of the
job's and the entry's name (rendezvous hashing). Entries that this one knows of
but doesn't reach rank as well: others may reach them and register the job
there.
"""

from collections import abc
import hashlib
import heapq
import itertools

from ferryledge.leases import _entry_selection

#: Number of registrars of a job, where some agent may not serve all entries.
REGISTRARS = 2
#: Number of entries that a message is relayed through.
_RELAYS = 2
#: Most entries that one job is registered with through others.
_MAX_UNREACHED = 4
#: Seconds for which an entry that did not answer is not waited for, and one
#: that was lost for long is not asked through others.
_AVOIDANCE_S = 1.0
#: Seconds without a stream after which an entry counts as lost for long.
_LONG_LOST_S = 10.0
#: The same if it ended the stream itself, as a process does that ends, or one
#: that hears nothing. One whose connections were only reset dials again much
#: sooner.
_ENDED_LOST_S = 1.2
_KEY_BYTES = 8
_KEY_MASK = 2 ** (8 * _KEY_BYTES) - 1
#: An odd factor that mixes the bits of two keys.
_KEY_FACTOR = 0x9E3779B97F4A7C15


class Registrars:
    """The other entries, as registrars of jobs and as relays.

    :param name: name of this entry
    """

    def __init__(self, name: str) -> None:
        self._name = name
        #: Hash keys of the entries that are known or connected, by name.
        self._keys: dict[str, int] = {}
        #: Whether it was learned which entries there are.
        self._knows_entries = False
        #: The other entries whose addresses are known.
        self._known: set[str] = set()
        #: Those of them without a stream to this one, and since when.
        self._unreached: dict[str, float] = {}
        #: Those of them that ended the stream themselves.
        self._ended: set[str] = set()
        #: Until when those that were lost for long are not asked for.
        self._absent_until: dict[str, float] = {}
        #: Entries whose stream is open, those of earlier releases too.
        self._connected: set[str] = set()
        #: Those of them that register jobs, in the order of their streams.
        self._reached: dict[str, None] = {}
        #: Those of them that relay messages.
        self._relays: set[str] = set()
        #: Until when entries that did not answer are not waited for.
        self._avoided_until: dict[str, float] = {}
        #: The same for answers that were to come through others.
        self._unanswering_until: dict[str, float] = {}

    @property
    def knows_entries(self) -> bool:
        """Whether it was learned which entries there are."""
        return self._knows_entries

    @property
    def reaches_all(self) -> bool:
        """Whether all known entries are connected."""
        return not self._unreached

    @property
    def count(self) -> int:
        """Number of registrars of a job: all others if there are few."""
        others = len(self._known | self._connected)
        if others < _entry_selection.ENTRIES_PER_AGENT:
            return others
        return REGISTRARS

    @property
    def has_others(self) -> bool:
        """Whether any other entry is known."""
        return bool(self._known or self._connected)

    @property
    def is_alone(self) -> bool:
        """Whether there is no stream to any entry."""
        return not self._connected

    def learn(self, now: float, names: abc.Iterable[str]) -> None:
        """Add entries whose addresses are known.

        :param now: monotonic seconds
        :param names: the entries; this one may be among them
        """
        self._knows_entries = True
        for name in names:
            if name == self._name or name in self._known:
                continue
            self._keys.setdefault(name, hash_key(name))
            self._known.add(name)
            if name not in self._connected:
                self._unreached[name] = now

    def join(self, name: str, registers_jobs: bool, relays: bool) -> None:
        """Add an entry whose stream was opened.

        :param name: the entry
        :param registers_jobs: whether it answers registrations
        :param relays: whether it relays messages
        """
        self._keys.setdefault(name, hash_key(name))
        self._connected.add(name)
        self._unreached.pop(name, None)
        self._ended.discard(name)
        self._absent_until.pop(name, None)
        if registers_jobs:
            self._reached[name] = None
        if relays:
            self._relays.add(name)
        self._avoided_until.pop(name, None)

    def leave(self, now: float, name: str, by_peer: bool = False) -> None:
        """Remove an entry whose stream broke.

        :param now: monotonic seconds
        :param name: the entry
        :param by_peer: whether the other side ended the stream
        """
        if by_peer:
            self._ended.add(name)
        self._connected.discard(name)
        self._reached.pop(name, None)
        self._relays.discard(name)
        if name in self._known:
            self._unreached.setdefault(name, now)

    def reaches(self, name: str) -> bool:
        """Return whether an entry that registers jobs is connected."""
        return name in self._reached

    def lacks(self, name: str) -> bool:
        """Return whether a known entry is not connected."""
        return name in self._unreached

    def relays_to(self, now: float, name: str) -> bool:
        """Return whether this entry can relay a message to another one."""
        return name in self._relays and not self.is_avoided(now, name)

    def avoid(self, now: float, name: str) -> None:
        """Don't wait for an entry for some time: it did not answer."""
        self._avoided_until[name] = now + _AVOIDANCE_S

    def is_avoided(self, now: float, name: str) -> bool:
        """Return whether an entry did not answer recently."""
        return now < self._avoided_until.get(name, 0.0)

    def avoid_through_others(self, now: float, name: str) -> None:
        """The same for an answer that was to come through others."""
        self._unanswering_until[name] = now + _AVOIDANCE_S

    def is_avoided_through_others(self, now: float, name: str) -> bool:
        """Return whether no answer came through others recently."""
        return now < self._unanswering_until.get(name, 0.0)

    def note_absent(self, now: float, name: str) -> None:
        """Record that no relay reaches an entry either."""
        lost_at = self._unreached.get(name, now)
        if now - lost_at > _LONG_LOST_S:
            self._absent_until[name] = now + _AVOIDANCE_S

    def required(self, now: float, job: str) -> list[str]:
        """Return the entries that must know a job if any entry holds it.

        They are its registrars among all entries that may be up, reached or
        not.
        """
        names = [
            name
            for name in self._known.union(self._reached)
            if not self._is_lost(now, name, name in self._ended)
        ]
        return self.rank(job, names)

    def exclude_lost(self, now: float, names: abc.Iterable[str]) -> list[str]:
        """Return those of some entries that are not lost for long."""
        return [name for name in names if not self._is_lost(now, name)]

    def _is_lost(self, now: float, name: str, has_ended: bool = False) -> bool:
        """Return whether an entry must have ended.

        One that fell silent may be cut off, which takes longer to tell.

        :param now: monotonic seconds
        :param name: the entry
        :param has_ended: whether it probably has, as it ended its stream
        """
        if name not in self._unreached:
            return False
        lost_s = _ENDED_LOST_S if has_ended else _LONG_LOST_S
        return now - self._unreached[name] > lost_s

    def note_answer(self, name: str) -> None:
        """Record that an entry answered, directly or through others."""
        self._avoided_until.pop(name, None)
        self._unanswering_until.pop(name, None)

    def reached(self) -> list[str]:
        """Return the entries that register jobs and are connected."""
        return list(self._reached)

    def responsive(self, now: float) -> list[str]:
        """Return those of them that did not fail to answer recently."""
        if not self._avoided_until:
            return list(self._reached)
        return [n for n in self._reached if not self.is_avoided(now, n)]

    def avoided(self, now: float) -> list[str]:
        """Return those of them that failed to answer recently."""
        return [
            name
            for name in self._avoided_until
            if name in self._reached and self.is_avoided(now, name)
        ]

    def rank(
        self,
        job: str,
        names: abc.Iterable[str],
        count: int | None = None,
    ) -> list[str]:
        """Return the entries that rank first for a job.

        :param job: the job
        :param names: the entries to choose from
        :param count: how many; defaults to the number of registrars
        """
        job_key = hash_key(job)
        if count is None:
            count = self.count
        return heapq.nsmallest(
            count, names, key=lambda name: self._score(job_key, name)
        )

    def relays(self, now: float, job: str, target: str) -> list[str]:
        """Return the entries to relay a message about a job through.

        :param now: monotonic seconds
        :param job: the job
        :param target: the entry that the message is for
        """
        names = [
            name
            for name in self.responsive(now)
            if name in self._relays and name != target
        ]
        return self.rank(job, names, _RELAYS)

    def missing(self, now: float, job: str) -> list[str]:
        """Return the entries that would be registrars if they were reached.

        These are the known ones that rank before the last registrar and have
        no stream, or did not answer recently.
        """
        candidates = {
            name
            for name in self._unreached
            if now >= self._absent_until.get(name, 0.0)
        }
        candidates.update(self.avoided(now))
        if not candidates:
            return []
        job_key = hash_key(job)
        chosen = self.rank(job, self.responsive(now))
        if len(chosen) == self.count:
            last = self._score(job_key, chosen[-1])
            candidates = {
                name
                for name in candidates
                if self._score(job_key, name) < last
            }
        return self.rank(job, candidates, _MAX_UNREACHED)

    def is_registrar(self, job: str, name: str) -> bool:
        """Return whether an entry is a registrar among those in reach.

        :param job: the job
        :param name: an entry that is reached
        """
        job_key = hash_key(job)
        score = self._score(job_key, name)
        before = (
            other
            for other in self._reached
            if self._score(job_key, other) < score
        )
        count = self.count
        return len(list(itertools.islice(before, count))) < count

    def first(self, job: str) -> list[str]:
        """Return the registrars of a job if all known entries are reached."""
        return self.rank(job, self._known.union(self._reached))

    def _score(self, job_key: int, name: str) -> int:
        mixed: int = (job_key ^ self._keys[name]) * _KEY_FACTOR & _KEY_MASK
        return mixed


def hash_key(text: str) -> int:
    """Return the hash key of a job's or an entry's name."""
    digest = hashlib.blake2b(text.encode(), digest_size=_KEY_BYTES).digest()
    return int.from_bytes(digest, "big")
