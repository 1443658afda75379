"""The platform's log in virtual time, and entries that follow it."""

from collections import abc
import random

from ferryledge import configlog
from ferryledge import core
from ferryledge.harness import _clock
from ferryledge.harness import _nodes

_RETRY_S = 0.5
_POLL_S = 2.0
_JITTER_S = 2.0


class VirtualLog:
    """An append-only log with outages and a limited memory.

    :param clock: virtual time
    :param delay_s: seconds that an append or a read takes
    """

    def __init__(self, clock: _clock.Clock, delay_s: float = 0.005) -> None:
        self._clock = clock
        self._records: list[bytes] = []
        self._first = 0
        self._log_id = "log-1"
        self._readers: list[abc.Callable[[], None]] = []
        self.delay_s = delay_s
        self.down = False
        self.lose_answers = False

    @property
    def end(self) -> int:
        """Offset that the next append gets."""
        return self._first + len(self._records)

    def append(
        self, data: bytes, done: abc.Callable[[int | None], None]
    ) -> None:
        """Append a record; tells the offset, or none if no answer came."""

        def effect() -> None:
            if self.down:
                self._clock.after(_RETRY_S, lambda: done(None))
                return
            offset = self.end
            self._records.append(data)
            for wake in self._readers:
                self._clock.after(self.delay_s, wake)
            lost = self.lose_answers
            answer = None if lost else offset
            self._clock.after(self.delay_s, lambda: done(answer))

        self._clock.after(self.delay_s, effect)

    def read(self, position: int) -> configlog.LogPage | None:
        """Return a page, or none if the log is down."""
        if self.down:
            return None
        start = max(position, self._first)
        records = tuple(
            configlog.LogRecord(start + number, data)
            for number, data in enumerate(self._records[start - self._first :])
        )
        return configlog.LogPage(self._log_id, self._first, self.end, records)

    def forget(self, first: int) -> None:
        """Forget the records before an offset."""
        drop = min(first, self.end) - self._first
        if drop > 0:
            del self._records[:drop]
            self._first += drop

    def replace(self) -> None:
        """Lose everything and start as another log."""
        self._records = []
        self._first = 0
        self._log_id += "x"

    def on_append(self, wake: abc.Callable[[], None]) -> None:
        """Call back whenever a record was appended."""
        self._readers.append(wake)


class LogReader:
    """Follows the log for one entry node.

    :param node: the entry
    :param log: the log
    :param clock: virtual time
    :param policy: when a checkpoint is due
    :param rng: source of the checkpoints' jitter
    :param stopped: asks the world's hook whether to go on
    """

    def __init__(
        self,
        node: _nodes.Node,
        log: VirtualLog,
        clock: _clock.Clock,
        policy: configlog.CheckpointPolicy,
        rng: random.Random,
        stopped: abc.Callable[..., bool],
    ) -> None:
        self._node = node
        self._log = log
        self._clock = clock
        self._policy = policy
        self._rng = rng
        self._stopped = stopped
        self._life = -1
        self._appending = False
        self.follower = configlog.Follower(policy)
        #: When, which version and in which life of the node came in force.
        self.versions: list[tuple[float, int, int]] = []
        log.on_append(self.read)
        self._poll()

    def adopt(self, snapshot: configlog.Snapshot) -> None:
        """Take a peer's snapshot if it is newer."""
        self._notice_restart()
        if self.follower.adopt(snapshot):
            self._publish()

    def read(self) -> None:
        """Read and fold what is new."""
        if not self._node.running:
            return
        self._notice_restart()
        if self.follower.position < self._log.end and self._stopped(
            _nodes.Moment.READ, self._node
        ):
            return
        version = self.follower.snapshot.version
        for _ in range(3):
            page = self._log.read(self.follower.position)
            if page is None:
                return
            self.follower.apply_page(page, self._clock.now)
        if self.follower.snapshot.version != version:
            self._publish()
        self._checkpoint()

    def _notice_restart(self) -> None:
        if self._life != self._node.life:
            self._life = self._node.life
            self.follower = configlog.Follower(self._policy)

    def _poll(self) -> None:
        self.read()
        self._clock.after(_POLL_S, self._poll)

    def _publish(self) -> None:
        snapshot = self.follower.snapshot
        self.versions.append(
            (self._clock.now, snapshot.version, self._node.life)
        )
        self._node.post(core.ConfigChanged(snapshot))

    def _checkpoint(self) -> None:
        if self._appending:
            return
        if not self.follower.checkpoint_due(self._clock.now):
            return
        self._appending = True
        self._clock.after(self._rng.random() * _JITTER_S, self._append)

    def _append(self) -> None:
        self._appending = False
        if not self._node.running:
            return
        if not self.follower.checkpoint_due(self._clock.now):
            return
        record = self.follower.checkpoint(self._node.name)
        if self._stopped(_nodes.Moment.APPENDED, self._node, None, record):
            return
        self._log.append(configlog.encode_record(record), lambda _: None)
