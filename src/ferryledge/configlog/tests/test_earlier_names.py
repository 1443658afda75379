"""Records are compatible with earlier versions that read the same log."""

import json

import pytest

from ferryledge import configlog

PLACE = configlog.Place("west", ("cork-1", "cork-2"))
WORKSPACE = configlog.Workspace("shop", 7)
KEY = configlog.EntityKey("workspace", "shop")
CHANGE = configlog.Change(
    "a", 0, "ann", "why", 1.0, puts=(PLACE, WORKSPACE), deletes=(KEY,)
)


@pytest.fixture
def encoded():
    return json.loads(configlog.encode_record(CHANGE))


def test_record_is_written_under_the_earlier_names(encoded):
    place, workspace = encoded["puts"]
    assert place["halls"] == ["cork-1", "cork-2"]
    assert workspace["kind"] == "team"
    assert encoded["deletes"] == [{"kind": "team", "name": "shop"}]


def test_record_is_unchanged_by_encoding_and_decoding():
    data = configlog.encode_record(CHANGE)
    assert configlog.decode_record(data) == CHANGE


def test_record_is_read_under_the_current_names(encoded):
    place, workspace = encoded["puts"]
    place["zones"] = place.pop("halls")
    workspace["kind"] = "workspace"
    encoded["deletes"][0]["kind"] = "workspace"
    assert configlog.decode_record(json.dumps(encoded).encode()) == CHANGE


def test_snapshot_is_written_under_the_earlier_names():
    snapshot = configlog.Snapshot(1, 1, (PLACE, WORKSPACE))
    data = configlog.encode_snapshot(snapshot)
    assert b'"kind":"team"' in data
    assert configlog.decode_snapshot(data) == snapshot
