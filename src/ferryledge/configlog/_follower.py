"""Follows the log from page to page, free of sockets and clocks.

A reader starts from the first record if the log still has it, else from
the newest checkpoint whose own position the log still has. The version
never falls, whatever the log shows.
"""

import dataclasses
import enum

from ferryledge.configlog import _entities
from ferryledge.configlog import _fold
from ferryledge.configlog import _records


@dataclasses.dataclass(frozen=True, slots=True)
class LogRecord:
    """One record as read."""

    offset: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LogPage:
    """An answer of the log service."""

    #: Differs when the log was replaced by another.
    log_id: str
    #: Offset of the oldest record that is kept.
    first: int
    #: Offset that the next append gets.
    end: int
    records: tuple[LogRecord, ...]


class FollowerState(enum.StrEnum):
    """How far the follower may be trusted."""

    #: No configuration is known yet.
    EMPTY = "empty"
    #: Looking for a checkpoint to start from.
    SEEKING = "seeking"
    #: The state is that of the log up to the position.
    FOLLOWING = "following"
    #: A record of a newer format stands at the position.
    NEEDS_UPGRADE = "needs_upgrade"
    #: The log was replaced by one that lacks our records.
    REPLACED = "replaced"


@dataclasses.dataclass(frozen=True, slots=True)
class CheckpointPolicy:
    """When a checkpoint is due."""

    #: Records behind the newest checkpoint.
    max_records: int = 200
    #: Seconds since the newest checkpoint, if anything came since.
    max_age_s: float = 600.0


class Follower:
    """Folds the log's pages into a snapshot.

    :param policy: when to call for a checkpoint
    """

    def __init__(self, policy: CheckpointPolicy | None = None) -> None:
        self._policy = policy or CheckpointPolicy()
        self._snapshot = _entities.EMPTY
        self._state = FollowerState.EMPTY
        self._position = 0
        self._end = 0
        self._log_id = ""
        self._checkpoint_offset = -1
        self._checkpoint_at: float | None = None

    @property
    def snapshot(self) -> _entities.Snapshot:
        """The configuration in force."""
        return self._snapshot

    @property
    def state(self) -> FollowerState:
        """How far the snapshot may be trusted."""
        return self._state

    @property
    def position(self) -> int:
        """Offset from which to read the next page."""
        return self._position

    @property
    def lag(self) -> int:
        """Records that were in the log but not yet folded."""
        return max(0, self._end - self._position)

    def adopt(self, snapshot: _entities.Snapshot) -> bool:
        """Take a peer's snapshot if it is newer.

        :return: whether it was taken
        """
        if snapshot.version <= self._snapshot.version:
            return False
        self._snapshot = snapshot
        self._position = max(self._position, snapshot.through)
        if self._state is FollowerState.EMPTY:
            self._state = FollowerState.FOLLOWING
        return True

    def accept(self, page: LogPage, now: float) -> list[_fold.Verdict]:
        """Fold one page.

        :param page: as read from :attr:`position`
        :param now: monotonic seconds, for the age of checkpoints
        :return: what became of each record of the page
        """
        self._end = page.end
        if self._checkpoint_at is None:
            self._checkpoint_at = now
        if not self._same_log(page):
            return []
        if self._is_gap(page):
            return self._seek(page, now)
        verdicts = []
        for record in page.records:
            if record.offset < self._position:
                continue
            if record.offset > self._position:
                self._state = FollowerState.SEEKING
                break
            verdict = self._fold_one(record, now)
            if verdict is None:
                break
            verdicts.append(verdict)
        return verdicts

    def checkpoint_due(self, now: float) -> bool:
        """Return whether some entry should append a checkpoint now."""
        if self._state is not FollowerState.FOLLOWING or self.lag:
            return False
        behind = self._position - 1 - self._checkpoint_offset
        if behind <= 0 or not self._snapshot.version:
            return False
        started = now if self._checkpoint_at is None else self._checkpoint_at
        old = now - started >= self._policy.max_age_s
        return behind >= self._policy.max_records or old

    def checkpoint(self, author: str) -> _entities.Checkpoint:
        """Return the checkpoint to append.

        :param author: name of the appending process
        """
        return _entities.Checkpoint(self._snapshot, author)

    def _same_log(self, page: LogPage) -> bool:
        if not self._log_id:
            self._log_id = page.log_id
        replaced = page.log_id != self._log_id
        if not replaced and page.end >= self._position:
            return True
        if page.first == 0 and page.end < self._snapshot.through:
            # A log that lacks our records must not take us back; it is
            # followed again once a checkpoint in it is newer.
            self._state = FollowerState.REPLACED
        self._log_id = page.log_id
        self._position = page.first
        self._checkpoint_offset = -1
        return not replaced and not page.records

    def _is_gap(self, page: LogPage) -> bool:
        if self._state in (FollowerState.SEEKING, FollowerState.REPLACED):
            return True
        if page.first <= self._position:
            return False
        self._state = FollowerState.SEEKING
        return True

    def _seek(self, page: LogPage, now: float) -> list[_fold.Verdict]:
        """Look for a checkpoint from which to go on."""
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
            self._note_checkpoint(record.offset, now)
            return [_fold.Accepted("checkpoint", snapshot.version)]
        return []

    def _usable_checkpoint(
        self, record: LogRecord, first: int
    ) -> _entities.Checkpoint | None:
        try:
            decoded = _records.decode_record(record.data)
        except _records.InvalidRecordError:
            return None
        if not isinstance(decoded, _entities.Checkpoint):
            return None
        through = decoded.snapshot.through
        return decoded if first <= through <= record.offset else None

    def _fold_one(self, record: LogRecord, now: float) -> _fold.Verdict | None:
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
            self._note_checkpoint(record.offset, now)
        self._snapshot, verdict = _fold.fold(
            self._snapshot, decoded, record.offset
        )
        self._position = record.offset + 1
        self._state = FollowerState.FOLLOWING
        return verdict

    def _note_checkpoint(self, offset: int, now: float) -> None:
        self._checkpoint_offset = max(self._checkpoint_offset, offset)
        self._checkpoint_at = now
