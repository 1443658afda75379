"""Tests tracking the operators' log when pages arrive in any order."""

from ferryledge.hosted import _operator_log
from ferryledge import platform

_CORDON = "evacuate/hall-a"


def _record(
    key: str, offset: int, value: bytes = b"{}"
) -> platform.KeyedRecord:
    return platform.KeyedRecord(key, value, offset)


def _page(first: int, *keys: str, value: bytes = b"{}") -> platform.KeyedPage:
    records = tuple(
        platform.KeyedRecord(key, value, first + n)
        for n, key in enumerate(keys)
    )
    end = first + len(keys)
    return platform.KeyedPage(records, end, first, end)


def _listed(end: int, *records: platform.KeyedRecord) -> platform.KeyedPage:
    return platform.KeyedPage(records, end, 0, end)


def test_cordon_in_skipped_records_is_not_missed() -> None:
    log = _operator_log.OperatorLog()
    log.apply_others(_listed(3))
    # Two records were skipped; one of them may be a cordon.
    assert not log.apply_page(_page(5, "config"))
    assert log.cordons.version == 3
    assert log.apply_others(_listed(6, _record(_CORDON, 3)))
    assert log.cordons.zones == ("hall-a",)


def test_outdated_list_does_not_restore_a_cordon() -> None:
    log = _operator_log.OperatorLog()
    log.apply_others(_listed(3, _record(_CORDON, 2)))
    assert log.apply_page(_page(3, _CORDON, value=b""))
    assert not log.apply_others(_listed(3, _record(_CORDON, 2)))
    assert log.cordons.zones == ()


def test_records_before_a_list_are_ignored() -> None:
    log = _operator_log.OperatorLog()
    log.apply_others(_listed(5))
    assert not log.apply_page(_page(3, _CORDON))
    assert log.cordons.zones == ()


def test_cordons_before_a_delivered_configuration_are_not_skipped() -> None:
    log = _operator_log.OperatorLog()
    log.apply_others(_listed(6))
    log.skip_to(6)
    assert not log.cordons_behind
    log.skip_to(8)
    assert log.cordons_behind
    assert (log.config_end, log.next_offset) == (8, 6)
    log.apply_others(_listed(8, _record(_CORDON, 6)))
    assert not log.cordons_behind
    assert log.next_offset == 8


def test_unlisted_records_are_counted_as_unseen() -> None:
    log = _operator_log.OperatorLog()
    log.skip_to(4)
    assert log.count_unseen(_listed(5, _record(_CORDON, 4))) == 0
    assert log.count_unseen(_listed(6, _record(_CORDON, 4))) == 1
    assert log.count_unseen(_listed(4, _record(_CORDON, 2))) == 0


def test_end_of_a_cordon_is_not_counted_as_unseen() -> None:
    log = _operator_log.OperatorLog()
    log.apply_others(_listed(4, _record(_CORDON, 3)))
    log.skip_to(4)
    ended = _listed(5)
    log.apply_others(ended)
    assert log.count_unseen(ended) == 0
    log.skip_to(5)
    assert log.count_unseen(_listed(6)) == 1


# Guards against skipping a configuration when a cordon ended before a
# delivered configuration and a list showed that only after the delivery.
def test_end_of_a_cordon_before_a_configuration_is_not_counted_twice() -> None:
    log = _operator_log.OperatorLog()
    log.apply_others(_listed(2, _record(_CORDON, 1)))
    log.skip_to(2)
    # The cordon ended at offset 2; the configuration at 3 is delivered.
    log.skip_to(4)
    log.apply_others(_listed(4))
    assert log.count_unseen(_listed(5)) == 1
    assert list(log.unlisted_offsets(_listed(5))) == [4]


# Guards against skipping a configuration in an older list when a newer list
# shows that a cordon ended.
def test_end_of_a_cordon_behind_a_list_is_not_counted_in_it() -> None:
    log = _operator_log.OperatorLog()
    log.apply_others(_listed(2, _record(_CORDON, 1)))
    log.skip_to(2)
    older = _listed(3, _record(_CORDON, 1))
    log.apply_others(older)
    log.apply_others(_listed(4))
    assert log.count_unseen(older) == 1
    assert log.count_unseen(_listed(4)) == 1


# Guards against skipping a configuration when a list grows while its pages are
# read: it may name or omit records beyond the end of its first page.
def test_records_beyond_the_end_of_a_list_are_not_counted_in_it() -> None:
    log = _operator_log.OperatorLog()
    log.apply_others(_listed(2, _record(_CORDON, 1)))
    log.skip_to(2)
    page = platform.KeyedPage((_record("evacuate/hall-b", 3),), 3, 0, 5)
    log.apply_others(page)
    assert log.count_unseen(page) == 1
    assert log.count_unseen(_listed(5, _record("evacuate/hall-b", 3))) == 2


def test_configurations_are_returned_newest_first() -> None:
    records = (
        platform.KeyedRecord("config", b"1", 0),
        platform.KeyedRecord("config", b"2", 1),
        platform.KeyedRecord("config", b"", 2),
        platform.KeyedRecord("wave/1", b"3", 3),
    )
    values = [record.value for record in _operator_log.newest_configs(records)]
    assert values == [b"2", b"1"]
    assert not list(_operator_log.newest_configs(records[3:]))
