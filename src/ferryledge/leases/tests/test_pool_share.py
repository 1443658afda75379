"""The estimate of an entry's share of the pool."""

import pytest

from ferryledge.leases import _pool_share


def test_entries_share_equally_before_the_first_start() -> None:
    assert _pool_share.PoolShare().cores(0.0, 80.0, 4) == 20.0


def test_share_follows_recently_started_work() -> None:
    share = _pool_share.PoolShare()
    for tick in range(400):
        share.note_started(tick / 100, 0.5, 1)
    assert share.cores(4.0, 80.0, 4) == pytest.approx(50.0, rel=0.02)
    assert share.cores(9.0, 80.0, 4) == 20.0


def test_share_never_exceeds_the_pool() -> None:
    share = _pool_share.PoolShare()
    share.note_started(0.0, 1000.0, 1)
    assert share.cores(0.0, 80.0, 4) == 80.0
