"""The start ledger admits each bound task once."""

import pytest

from ferryledge import ledger

KEY = ledger.TaskKey("owner", 5)


@pytest.fixture
def starts():
    return ledger.StartLedger(retention_s=10.0)


def finish(at=0.0):
    return ledger.Finish(True, b"1", 0.1, at)


def test_a_repeat_is_not_a_second_start(starts):
    assert starts.admit(KEY, "f.1", 0) is ledger.Admission.FRESH
    assert starts.admit(KEY, "f.1", 0) is ledger.Admission.REPEAT
    starts.finish(KEY, finish())
    assert starts.admit(KEY, "f.1", 0) is ledger.Admission.REPEAT


def test_a_repeat_is_refused_after_its_record_was_dropped(starts):
    starts.admit(KEY, "f.1", 0)
    starts.finish(KEY, finish(at=0.0))
    starts.expire(11.0)
    assert starts.find(KEY) is None
    assert starts.admit(KEY, "f.1", 0) is ledger.Admission.REFUSED


def test_a_release_before_the_start_stands(starts):
    assert starts.release(KEY)
    assert starts.admit(KEY, "f.1", 0) is ledger.Admission.REFUSED


def test_a_started_task_is_not_released(starts):
    starts.admit(KEY, "f.1", 0)
    assert not starts.release(KEY)


@pytest.mark.parametrize(
    ("submission", "expected"),
    [
        ("front.3", ledger.Admission.REFUSED),
        ("front.4", ledger.Admission.FRESH),
        ("other.3", ledger.Admission.FRESH),
    ],
)
def test_a_fence_covers_one_fronts_earlier_jobs(starts, submission, expected):
    starts.fence("owner", "front", through=3)
    assert starts.admit(KEY, submission, 0) is expected


def test_a_fence_tells_what_started(starts):
    starts.admit(KEY, "front.1", 7)
    told = starts.fence("owner", "front", through=3)
    assert [(one.submission, one.index) for one in told] == [("front.1", 7)]


def test_owners_are_counted_apart(starts):
    starts.admit(KEY, "f.1", 0)
    other = ledger.TaskKey("other", 1)
    assert starts.admit(other, "f.1", 1) is ledger.Admission.FRESH


def test_a_start_that_was_taken_back_never_starts(starts):
    starts.admit(KEY, "f.1", 0)
    assert starts.undo_start(KEY) is not None
    assert starts.running == 0
    assert starts.admit(KEY, "f.1", 0) is ledger.Admission.REFUSED
