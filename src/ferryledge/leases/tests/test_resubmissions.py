"""How entries recognize and remember jobs that are submitted again."""

import pytest

from ferryledge import leases
from ferryledge.leases import _resubmissions
from ferryledge import wire

_QUEUE = "quick"
_PEERS = 3


@pytest.fixture
def resubmissions() -> _resubmissions.Resubmissions:
    """Return what an entry knows after some usual submissions."""
    known = _resubmissions.Resubmissions(leases.LeaseTiming())
    for number in range(100):
        deadline_s = 2.0 + 0.04 * (number % 10)
        known.note_submission(0.0, _QUEUE, f"{number}", deadline_s, _PEERS)
    return known


def _submit(
    known: _resubmissions.Resubmissions,
    now: float = 0.0,
    job: str = "a",
    deadline_s: float = 0.9,
    peers: int = _PEERS,
) -> wire.JobsResubmitted | None:
    return known.note_submission(now, _QUEUE, job, deadline_s, peers)


def test_short_deadline_is_announced(
    resubmissions: _resubmissions.Resubmissions,
) -> None:
    announcement = _submit(resubmissions)
    expected = wire.JobsResubmitted((wire.SubmittedJob("a", 0.9),))
    assert announcement == expected
    assert resubmissions.announced(1.0) == expected


@pytest.mark.parametrize("deadline_s", [0.0, 2.0, 2.4, 9.0])
def test_usual_deadline_is_not_announced(
    resubmissions: _resubmissions.Resubmissions, deadline_s: float
) -> None:
    assert _submit(resubmissions, deadline_s=deadline_s) is None


def test_nothing_is_announced_before_deadlines_are_known() -> None:
    known = _resubmissions.Resubmissions(leases.LeaseTiming())
    assert _submit(known) is None


def test_nothing_is_announced_without_other_entries(
    resubmissions: _resubmissions.Resubmissions,
) -> None:
    assert _submit(resubmissions, peers=0) is None


def test_announcements_have_a_budget(
    resubmissions: _resubmissions.Resubmissions,
) -> None:
    """Guards against a cost that grows with the number of entries."""
    sent = [_submit(resubmissions, job=f"{n}", peers=100) for n in range(10)]
    assert sum(one is not None for one in sent) == 4
    assert _submit(resubmissions, 0.9, peers=100) is None
    assert _submit(resubmissions, 2.1, peers=100) is not None


def test_announcements_end_with_the_client(
    resubmissions: _resubmissions.Resubmissions,
) -> None:
    _submit(resubmissions)
    resubmissions.learn(0.0, "entry-1", wire.SubmittedJob("b", 0.9))
    resubmissions.expire(1.0)
    assert resubmissions.find("b") is not None
    resubmissions.expire(3.0)
    assert resubmissions.find("b") is None
    assert resubmissions.announced(3.0) is None


@pytest.mark.parametrize("deadlines", [(0.9, 0.4), (0.4, 0.9)])
def test_newest_submission_is_kept(
    resubmissions: _resubmissions.Resubmissions,
    deadlines: tuple[float, float],
) -> None:
    """Guards against an older announcement that comes later."""
    for entry, deadline_s in zip(
        ("entry-1", "entry-2"), deadlines, strict=True
    ):
        resubmitted = wire.SubmittedJob("a", deadline_s)
        resubmissions.learn(0.0, entry, resubmitted)
    known = resubmissions.find("a")
    assert known is not None
    assert known.deadline_s == 0.4
    assert known.is_newer(0.9)
    assert known.is_newer(0.0)
    assert not known.is_newer(0.4)
    assert not known.is_newer(0.2)


def test_entry_that_comes_back_is_told_of_the_latest_jobs() -> None:
    """Guards against a message that its receiver can't decode."""
    known = _resubmissions.Resubmissions(leases.LeaseTiming())
    count = 30_000
    for number in range(count):
        deadline_s = 60.0 + number % 4
        if number % 5 == 4:
            deadline_s = 50.0
        _submit(known, 0.002 * number, f"{number}", deadline_s, peers=1)
    announced = known.announced(0.002 * count)
    assert announced is not None
    assert announced.jobs[-1].job == f"{count - 1}"
    (decoded,) = wire.Decoder().feed(wire.encode(announced))
    assert decoded == announced
