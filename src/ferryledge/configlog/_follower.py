"""Follows the log page by page, without sockets or clocks.

A reader starts from the first record of the log if that still exists.
Otherwise it starts from a checkpoint, provided that the log still holds all
records that the checkpoint does not include. The version never decreases,
even if the log is truncated or replaced.
"""

import dataclasses
import enum

from ferryledge.configlog import _entities
from ferryledge.configlog import _fold
from ferryledge.configlog import _records


@dataclasses.dataclass(frozen=True, slots=True)
class LogRecord:
    """An encoded record and its position in the log."""

    offset: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LogPage:
    """A response of the log service to a read."""

    #: Identity of the log; it changes when the log is replaced.
    log_id: str
    #: Offset of the oldest record that the log still holds.
    first: int
    #: Offset of the next append.
    end: int
    records: tuple[LogRecord, ...]


class FollowerState(enum.StrEnum):
    """How the follower's snapshot relates to the log."""

    #: No record has been applied yet.
    EMPTY = "empty"
    #: Records are missing; the follower is looking for a checkpoint.
    SEEKING = "seeking"
    #: The snapshot includes all records before the position.
    FOLLOWING = "following"
    #: The record at the position has a newer format.
    NEEDS_UPGRADE = "needs_upgrade"
    #: The log was replaced by one that lacks records already applied.
    REPLACED = "replaced"


@dataclasses.dataclass(frozen=True, slots=True)
class CheckpointPolicy:
    """When a checkpoint is due."""

    #: Number of records since the newest checkpoint.
    max_records: int = 200
    #: Seconds since the newest checkpoint, if records followed it.
    max_age_s: float = 600.0


class Follower:
    """Applies pages of the log to a snapshot.

    :param policy: when a checkpoint is due; defaults to
        ``CheckpointPolicy()``
    """

    def __init__(self, policy: CheckpointPolicy | None = None) -> None:
        self._policy = policy or CheckpointPolicy()
        self._snapshot = _entities.EMPTY_SNAPSHOT
        self._state = FollowerState.EMPTY
        self._position = 0
        self._end = 0
        self._log_id = ""
        self._checkpoint_offset = -1
        self._checkpoint_time: float | None = None

    @property
    def snapshot(self) -> _entities.Snapshot:
        """The configuration in force."""
        return self._snapshot

    @property
    def state(self) -> FollowerState:
        """How the snapshot relates to the log."""
        return self._state

    @property
    def position(self) -> int:
        """Offset from which to read the next page."""
        return self._position

    @property
    def lag(self) -> int:
        """Number of records in the log that are not yet applied."""
        return max(0, self._end - self._position)

    def adopt(self, snapshot: _entities.Snapshot) -> bool:
        """Replace the snapshot by that of a peer if the peer's is newer.

        :param snapshot: the peer's snapshot
        :return: whether the snapshot was replaced
        """
        if snapshot.version <= self._snapshot.version:
            return False
        self._snapshot = snapshot
        self._position = max(self._position, snapshot.through)
        if self._state is FollowerState.EMPTY:
            self._state = FollowerState.FOLLOWING
        return True

    def apply_page(self, page: LogPage, now: float) -> list[_fold.Verdict]:
        """Apply the records of one page.

        :param page: a page read from :attr:`position`
        :param now: monotonic seconds, for the age of the newest checkpoint
        :return: the verdict on each record that was processed
        """
        self._end = page.end
        if self._checkpoint_time is None:
            self._checkpoint_time = now
        if not self._continues_log(page):
            return []
        if self._needs_checkpoint(page):
            return self._start_from_checkpoint(page, now)
        verdicts = []
        for record in page.records:
            if record.offset < self._position:
                continue
            if record.offset > self._position:
                self._state = FollowerState.SEEKING
                break
            verdict = self._fold_record(record, now)
            if verdict is None:
                break
            verdicts.append(verdict)
        return verdicts

    def checkpoint_due(self, now: float) -> bool:
        """Return whether an entry should append a checkpoint.

        :param now: monotonic seconds
        """
        if self._state is not FollowerState.FOLLOWING or self.lag:
            return False
        records_since = self._position - 1 - self._checkpoint_offset
        if records_since <= 0 or not self._snapshot.version:
            return False
        since = now if self._checkpoint_time is None else self._checkpoint_time
        is_old = now - since >= self._policy.max_age_s
        return records_since >= self._policy.max_records or is_old

    def checkpoint(self, author: str) -> _entities.Checkpoint:
        """Return the checkpoint to append.

        :param author: name of the appending process
        """
        return _entities.Checkpoint(self._snapshot, author)

    def _continues_log(self, page: LogPage) -> bool:
        """Return whether the page can be applied at the current position.

        If the log was replaced or truncated, the position is set to the
        oldest record that the log holds.
        """
        if not self._log_id:
            self._log_id = page.log_id
        replaced = page.log_id != self._log_id
        if not replaced and page.end >= self._position:
            return True
        if page.first == 0 and page.end < self._snapshot.through:
            # Applying a log that lacks known records would revert changes.
            # A checkpoint that is no older than the snapshot ends this state.
            self._state = FollowerState.REPLACED
        self._log_id = page.log_id
        self._position = page.first
        self._checkpoint_offset = -1
        return not replaced and not page.records

    def _needs_checkpoint(self, page: LogPage) -> bool:
        """Return whether the follower must start again from a checkpoint."""
        if self._state in (FollowerState.SEEKING, FollowerState.REPLACED):
            return True
        if page.first <= self._position:
            return False
        self._state = FollowerState.SEEKING
        return True

    def _start_from_checkpoint(
        self, page: LogPage, now: float
    ) -> list[_fold.Verdict]:
        """Continue from the first usable checkpoint of the page, if any."""
        if self._position < page.first:
            self._position = page.first
        for record in page.records:
            self._position = max(self._position, record.offset + 1)
            checkpoint = self._usable_checkpoint(record, page.first)
            if checkpoint is None:
                continue
            snapshot = checkpoint.snapshot
            if snapshot.version < self._snapshot.version:
                continue
            self._snapshot = snapshot
            self._position = snapshot.through
            self._state = FollowerState.FOLLOWING
            self._update_newest_checkpoint(record.offset, now)
            return [_fold.Accepted("checkpoint", snapshot.version)]
        return []

    def _usable_checkpoint(
        self, record: LogRecord, first: int
    ) -> _entities.Checkpoint | None:
        """Decode a checkpoint if the log holds all records to follow it.

        :param record: any record of the log
        :param first: offset of the oldest record that the log still holds
        :return: the checkpoint, or ``None`` if the record is no usable one
        """
        try:
            decoded = _records.decode_record(record.data)
        except _records.InvalidRecordError:
            return None
        if not isinstance(decoded, _entities.Checkpoint):
            return None
        through = decoded.snapshot.through
        return decoded if first <= through <= record.offset else None

    def _fold_record(
        self, record: LogRecord, now: float
    ) -> _fold.Verdict | None:
        """Apply one record; return ``None`` if its format is newer."""
        try:
            decoded = _records.decode_record(record.data)
        except _records.InvalidRecordError as exc:
            if exc.newer:
                self._state = FollowerState.NEEDS_UPGRADE
                return None
            self._position = record.offset + 1
            self._state = FollowerState.FOLLOWING
            return _fold.NotApplied(f"invalid record: {exc}")
        if isinstance(decoded, _entities.Checkpoint):
            self._update_newest_checkpoint(record.offset, now)
        self._snapshot, verdict = _fold.fold(
            self._snapshot, decoded, record.offset
        )
        self._position = record.offset + 1
        self._state = FollowerState.FOLLOWING
        return verdict

    def _update_newest_checkpoint(self, offset: int, now: float) -> None:
        self._checkpoint_offset = max(self._checkpoint_offset, offset)
        self._checkpoint_time = now
