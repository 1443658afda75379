"""Counts and logs values from outside that can't be read.

Such a value may be met again and again: a record at each read of its list, an
answer at each call. It is counted each time, but not logged each time.
"""

from collections import abc

import anyio
import loguru

from ferryledge.hosted import _metrics
from ferryledge import platform

#: Least seconds between two lines about the endpoint's answers.
_LOG_INTERVAL_S = 60.0


#: Called with the topic, a record of it and the reason why it can't be read.
NoteRecord = abc.Callable[[str, platform.KeyedRecord, Exception], None]


def log_record(
    topic: str, record: platform.KeyedRecord, reason: Exception
) -> None:
    """Log that a record is ignored since it can't be read."""
    loguru.logger.warning(
        "invalid record: {}",
        reason,
        step="join",
        peer=record.key,
        topic=topic,
    )


class UnreadableValues:
    """The unreadable values that a process met.

    :param registry: serves the metrics
    """

    def __init__(self, registry: _metrics.Registry) -> None:
        self._counter = registry.counter(
            "unreadable_values",
            "Values from outside that could not be read",
            ("source",),
        )
        #: Offset of the record that was logged last, by topic and key.
        self._logged_records: dict[tuple[str, str], int] = {}
        self._answer_logged_at = float("-inf")

    def note_record(
        self, topic: str, record: platform.KeyedRecord, reason: Exception
    ) -> None:
        """Count a record, and log it unless it was logged before."""
        self._counter.add(1, "record")
        key = topic, record.key
        if self._logged_records.get(key) == record.offset:
            return
        self._logged_records[key] = record.offset
        log_record(topic, record, reason)

    def note_answer(self, reason: str) -> None:
        """Count an answer of the endpoint, or a row of it."""
        self._counter.add(1, "answer")
        now = anyio.current_time()
        if now - self._answer_logged_at < _LOG_INTERVAL_S:
            return
        self._answer_logged_at = now
        loguru.logger.warning(
            "unreadable answer of the endpoint: {}", reason, step="renew"
        )
