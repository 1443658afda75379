"""Tests of the encoding of messages and of the decoder's limits."""

import hypothesis
from hypothesis import strategies as st
import msgpack
import pytest

from ferryledge import wire

MESSAGES = [
    wire.Hello(wire.Role.AGENT, "a", "i", "north", 8, 64, 0, True, 3),
    wire.KeepAlive(),
    wire.StartTasks("i", "f.1", "s", 1.0, 7, (0, 2), (b"1", b"2")),
    wire.TasksFinished("f.1", (wire.FinishedTask(7, 0, True, b"{}", 0.5),)),
    wire.TasksReleased("f.1", (7,), wire.ReleaseReason.BUSY, 8),
    wire.PlaceJob("f.1", "t", "s", (wire.PlacedTask(b"1", 0.1),)),
    wire.JobAnswered("f.1", wire.OutcomeRecord("complete", (b"1",))),
    wire.Verdict("t", "f.1", wire.VerdictTag.SETTLED, None),
    wire.FenceReport("o", (wire.FencedJob("f.1", (), (1,)),)),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_round_trip(message):
    assert list(wire.Decoder().feed(wire.encode(message))) == [message]


def test_messages_may_be_split_across_reads():
    data = b"".join(wire.encode(message) for message in MESSAGES)
    decoder = wire.Decoder()
    decoded = []
    for start in range(0, len(data), 5):
        decoded += decoder.feed(data[start : start + 5])
    assert decoded == MESSAGES


def test_unknown_trailing_fields_are_ignored_and_missing_ones_default():
    newer = msgpack.packb(["alive", 7, 2, 0.5, "from a newer one"])
    older = msgpack.packb(["alive", 7])
    assert list(wire.Decoder().feed(newer)) == [wire.KeepAlive(7, 2, 0.5)]
    assert list(wire.Decoder().feed(older)) == [wire.KeepAlive(7, 0, 0.0)]


@pytest.mark.parametrize(
    "value",
    [
        7,
        "alive",
        [],
        ["no such message"],
        ["alive", "seven"],
        ["start", "i", "f.1"],
        {"alive": 1},
        [["alive"]],
        ["alive", None],
    ],
)
def test_values_other_than_messages_are_rejected(value):
    with pytest.raises(wire.WireError):
        list(wire.Decoder().feed(msgpack.packb(value)))


@pytest.mark.parametrize(
    "message",
    [
        wire.KeepAlive(2**64),
        wire.LeaseGrant(-(2**63) - 1),
        wire.Hello(wire.Role.AGENT, "\ud800", "i", "north"),
    ],
)
def test_message_that_cannot_be_encoded_has_its_own_error(message):
    with pytest.raises(
        wire.EncodingError, match=r"'(alive|grant-lease|hello)'"
    ):
        wire.encode(message)


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_nothing_but_wire_errors(data):
    decoder = wire.Decoder()
    try:
        for message in decoder.feed(data):
            assert isinstance(message, wire.Message)
    except wire.WireError:
        pass


def test_buffer_is_bounded():
    decoder = wire.Decoder()
    header = b"\xc6\x7f\xff\xff\xff"
    with pytest.raises(wire.WireError):
        list(decoder.feed(header))
        for _ in range(20):
            list(decoder.feed(b"x" * (1024 * 1024)))
