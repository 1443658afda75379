"""Records under the names of earlier versions, which share the log."""

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
def written():
    return json.loads(configlog.encode_record(CHANGE))


def test_a_record_keeps_the_names_that_earlier_versions_read(written):
    place, workspace = written["puts"]
    assert place["halls"] == ["cork-1", "cork-2"]
    assert workspace["kind"] == "team"
    assert written["deletes"] == [{"kind": "team", "name": "shop"}]


def test_a_record_is_read_as_it_was_written():
    data = configlog.encode_record(CHANGE)
    assert configlog.decode_record(data) == CHANGE


def test_a_record_is_read_under_the_names_of_today(written):
    place, workspace = written["puts"]
    place["zones"] = place.pop("halls")
    workspace["kind"] = "workspace"
    written["deletes"][0]["kind"] = "workspace"
    assert configlog.decode_record(json.dumps(written).encode()) == CHANGE


def test_a_snapshot_keeps_the_earlier_names():
    snapshot = configlog.Snapshot(1, 1, (PLACE, WORKSPACE))
    data = configlog.encode_snapshot(snapshot)
    assert b'"kind":"team"' in data
    assert configlog.decode_snapshot(data) == snapshot
