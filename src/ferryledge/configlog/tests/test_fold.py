"""All readers of a log reach the same version, which never decreases."""

import dataclasses

import hypothesis
from hypothesis import strategies as st
import pytest

from ferryledge import configlog


def change(name, base, **fields):
    fields.setdefault("puts", (configlog.Workspace(name),))
    return configlog.Change(name, base, "author", "why", 1.0, **fields)


def page(records, first=0, log_id="log", start=0):
    encoded = [configlog.encode_record(record) for record in records]
    kept = tuple(
        configlog.LogRecord(offset, data)
        for offset, data in enumerate(encoded)
        if offset >= max(first, start)
    )
    return configlog.LogPage(log_id, first, len(encoded), kept)


def follow(records, **options):
    follower = configlog.Follower()
    verdicts = follower.apply_page(page(records, **options), 0.0)
    return follower, verdicts


def test_first_of_two_concurrent_changes_wins():
    follower, verdicts = follow([change("a", 0), change("b", 0)])
    assert verdicts[0] == configlog.Accepted("a", 1)
    assert isinstance(verdicts[1], configlog.Rejected)
    assert "publish again" in verdicts[1].reason
    assert follower.snapshot.version == 1


def test_repeated_append_is_applied_once():
    follower, verdicts = follow([change("a", 0), change("a", 0)])
    assert isinstance(verdicts[1], configlog.NotApplied)
    assert follower.snapshot.version == 1


def test_service_with_a_missing_policy_is_rejected():
    service = configlog.Service("s", policy="none")
    _, verdicts = follow([change("a", 0, puts=(service,))])
    assert "does not exist" in verdicts[0].reason


def test_audit_trail_holds_entities_before_and_after():
    old, new = configlog.Workspace("t", 1), configlog.Workspace("t", 2)
    key = configlog.EntityKey("workspace", "t")
    follower, _ = follow(
        [
            change("a", 0, puts=(old,)),
            change("b", 1, puts=(new,)),
            change("c", 2, puts=(), deletes=(key,)),
        ]
    )
    history = follower.snapshot.history
    assert [(entry.before, entry.after) for entry in history] == [
        ((), (old,)),
        ((old,), (new,)),
        ((new,), ()),
    ]
    assert [entry.offset for entry in history] == [0, 1, 2]


def test_reader_starts_from_a_checkpoint_if_records_were_deleted():
    source, _ = follow([change("a", 0), change("b", 1)])
    records = [
        change("a", 0),
        change("b", 1),
        source.checkpoint("entry"),
        change("c", 2),
    ]
    joined = configlog.Follower()
    joined.apply_page(page(records, first=2), 0.0)
    joined.apply_page(page(records, first=2, start=joined.position), 0.0)
    complete, _ = follow(records)
    assert joined.snapshot == complete.snapshot
    assert joined.snapshot.version == 3


def test_checkpoint_is_not_used_if_records_after_it_were_deleted():
    source, _ = follow([change("a", 0)])
    records = [change("a", 0), change("b", 1), source.checkpoint("slow")]
    joined, _ = follow(records, first=2)
    assert joined.snapshot.version == 0
    assert joined.state is configlog.FollowerState.SEEKING


def test_older_checkpoint_has_no_effect():
    old, _ = follow([change("a", 0)])
    records = [change("a", 0), change("b", 1), old.checkpoint("slow")]
    follower, _ = follow(records)
    assert follower.snapshot.version == 2


def test_replaced_log_does_not_revert_the_configuration():
    follower, _ = follow([change("a", 0), change("b", 1)])
    follower.apply_page(page([change("x", 0)], log_id="other"), 1.0)
    assert follower.snapshot.version == 2
    assert follower.state is configlog.FollowerState.REPLACED


def test_replaced_log_is_followed_again_from_a_checkpoint():
    follower, _ = follow([change("a", 0), change("b", 1)])
    records = [
        dataclasses.replace(
            follower.checkpoint("entry"),
            snapshot=dataclasses.replace(follower.snapshot, through=0),
        ),
        change("c", 2),
    ]
    for _ in range(3):
        follower.apply_page(
            page(records, log_id="other", start=follower.position), 1.0
        )
    assert follower.snapshot.version == 3


def test_record_of_a_newer_format_stops_the_reader():
    newer = dataclasses.replace(change("b", 1), format=configlog.FORMAT + 1)
    follower, _ = follow([change("a", 0), newer, change("c", 1)])
    assert follower.snapshot.version == 1
    assert follower.position == 1
    assert follower.state is configlog.FollowerState.NEEDS_UPGRADE


def test_older_snapshot_of_a_peer_is_not_adopted():
    older, _ = follow([change("a", 0)])
    newer, _ = follow([change("a", 0), change("b", 1)])
    assert not newer.adopt(older.snapshot)
    assert older.adopt(newer.snapshot)
    assert older.snapshot.version == 2


def test_checkpoint_becomes_due_by_count_and_by_age():
    policy = configlog.CheckpointPolicy(max_records=2, max_age_s=10.0)
    follower = configlog.Follower(policy)
    follower.apply_page(page([change("a", 0)]), 0.0)
    assert not follower.checkpoint_due(1.0)
    assert follower.checkpoint_due(11.0)
    records = [change("a", 0), change("b", 1)]
    follower.apply_page(page(records, start=1), 2.0)
    assert follower.checkpoint_due(2.0)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"{",
        b"[]",
        b'{"record": "none"}',
        b'{"record": "change", "id": "", "base": 0}',
        b'{"record": "change", "id": "x", "base": -1, "author": "a",'
        b' "reason": "", "at": 0}',
        b'{"record": "checkpoint", "snapshot": 7}',
        b"\xff\xfe",
    ],
)
def test_invalid_record_is_skipped_and_reported(data):
    valid = configlog.encode_record(change("a", 0))
    records = (
        configlog.LogRecord(0, data),
        configlog.LogRecord(1, valid),
    )
    follower = configlog.Follower()
    verdicts = follower.apply_page(configlog.LogPage("l", 0, 2, records), 0.0)
    assert "invalid record" in verdicts[0].reason
    assert follower.snapshot.version == 1


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(st.binary(max_size=300) | st.text().map(str.encode))
def test_decoding_any_bytes_raises_no_other_error(data):
    try:
        configlog.decode_record(data)
    except configlog.InvalidRecordError as exc:
        assert str(exc)


#: For each change of a log: the last part of its id, and how far its base
#: version is from the current one.
HISTORIES = st.lists(st.tuples(st.integers(0, 9), st.integers(-1, 1)))


@hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
@hypothesis.given(HISTORIES, st.integers(1, 7))
def test_readers_agree_for_any_page_size(changes, size):
    records = []
    version = 0
    for number, (id_suffix, base_error) in enumerate(changes):
        base = max(0, version + base_error)
        records.append(change(f"c{number}-{id_suffix}", base))
        version += base == version
    complete, _ = follow(records)
    paged = configlog.Follower()
    versions = [0]
    while paged.position < len(records):
        rest = page(records, start=paged.position)
        short = dataclasses.replace(rest, records=rest.records[:size])
        paged.apply_page(short, 0.0)
        versions.append(paged.snapshot.version)
    assert paged.snapshot == complete.snapshot
    assert versions == sorted(versions)
