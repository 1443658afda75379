"""What an entry takes for its share of the pool."""

import pytest

from ferryledge.leases import _pool_share


def test_entries_share_alike_until_something_was_started() -> None:
    assert _pool_share.PoolShare().cores(0.0, 80.0, 4) == 20.0


def test_share_follows_what_was_started_lately() -> None:
    share = _pool_share.PoolShare()
    for tick in range(400):
        share.note_started(tick / 100, 0.5, 1)
    assert share.cores(4.0, 80.0, 4) == pytest.approx(50.0, rel=0.02)
    assert share.cores(9.0, 80.0, 4) == 20.0


def test_share_is_never_more_than_the_pool() -> None:
    share = _pool_share.PoolShare()
    share.note_started(0.0, 1000.0, 1)
    assert share.cores(0.0, 80.0, 4) == 80.0
