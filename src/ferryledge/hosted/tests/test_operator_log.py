"""What is known of the operators' log, whatever order it is learned in."""

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


def test_records_that_are_passed_over_hide_no_cordon() -> None:
    log = _operator_log.OperatorLog()
    log.list_others(_listed(3))
    # Two records between were not read: one may be a cordon.
    assert not log.read(_page(5, "config"))
    assert log.cordons.version == 3
    assert log.list_others(_listed(6, _record(_CORDON, 3)))
    assert log.cordons.zones == ("hall-a",)


def test_late_list_brings_no_cordon_back() -> None:
    log = _operator_log.OperatorLog()
    log.list_others(_listed(3, _record(_CORDON, 2)))
    assert log.read(_page(3, _CORDON, value=b""))
    assert not log.list_others(_listed(3, _record(_CORDON, 2)))
    assert log.cordons.zones == ()


def test_records_that_were_listed_change_nothing_again() -> None:
    log = _operator_log.OperatorLog()
    log.list_others(_listed(5))
    assert not log.read(_page(3, _CORDON))
    assert log.cordons.zones == ()


def test_only_what_is_not_listed_may_be_a_configuration() -> None:
    log = _operator_log.OperatorLog()
    log.skip_to(4)
    assert log.unknown(_listed(5, _record(_CORDON, 4))) == 0
    assert log.unknown(_listed(6, _record(_CORDON, 4))) == 1
    assert log.unknown(_listed(4, _record(_CORDON, 2))) == 0


def test_end_of_a_cordon_is_no_configuration() -> None:
    log = _operator_log.OperatorLog()
    log.list_others(_listed(4, _record(_CORDON, 3)))
    log.skip_to(4)
    ended = _listed(5)
    log.list_others(ended)
    assert log.unknown(ended) == 0
    log.skip_to(5)
    assert log.unknown(_listed(6)) == 1


def test_last_configuration_counts() -> None:
    records = (
        platform.KeyedRecord("config", b"1", 0),
        platform.KeyedRecord("config", b"2", 1),
        platform.KeyedRecord("config", b"", 2),
        platform.KeyedRecord("wave/1", b"3", 3),
    )
    assert _operator_log.newest_config(records) == b"2"
    assert _operator_log.newest_config(records[3:]) is None
