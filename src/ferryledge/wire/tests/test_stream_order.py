"""Which of several streams to the same peer counts as the newest."""

import msgpack
import pytest

from ferryledge import wire


def _hello(number: int, incarnation: str = "agent-0.1") -> wire.Hello:
    return wire.Hello(
        wire.Role.AGENT, "agent-0", incarnation, "north", stream=number
    )


@pytest.fixture
def order() -> wire.StreamOrder:
    return wire.StreamOrder()


def _accept(order: wire.StreamOrder, *hellos: wire.Hello) -> list[bool]:
    """Return which streams are admitted, accepted in this order."""
    return [
        order.admit(hello, order.next_number(), is_dialled=False)
        for hello in hellos
    ]


def test_lower_number_of_the_same_incarnation_is_refused(
    order: wire.StreamOrder,
) -> None:
    hellos = [_hello(number) for number in (1, 3, 2, 4)]
    assert _accept(order, *hellos) == [True, True, False, True]


def test_older_build_without_numbers_always_replaces(
    order: wire.StreamOrder,
) -> None:
    hellos = [_hello(0) for _ in range(3)]
    assert _accept(order, *hellos) == [True, True, True]


def test_new_incarnation_that_starts_at_one_replaces_the_old_one(
    order: wire.StreamOrder,
) -> None:
    hellos = [_hello(7), _hello(1, "agent-0.2"), _hello(2, "agent-0.2")]
    assert _accept(order, *hellos) == [True, True, True]


@pytest.mark.parametrize("number", [0, 7])
@pytest.mark.parametrize("was_known", [False, True])
def test_replaced_incarnation_does_not_come_back(
    order: wire.StreamOrder, number: int, was_known: bool
) -> None:
    """Its stream was accepted before that of its successor."""
    if was_known:
        assert _accept(order, _hello(6)) == [True]
    late = order.next_number()
    assert _accept(order, _hello(1, "agent-0.2")) == [True]
    assert not order.admit(_hello(number), late, is_dialled=False)
    assert _accept(order, _hello(2, "agent-0.2")) == [True]


def test_live_incarnation_is_not_locked_out(order: wire.StreamOrder) -> None:
    """One that was replaced by mistake dials again."""
    hellos = [_hello(1, "agent-0.2"), _hello(7), _hello(2, "agent-0.2")]
    assert _accept(order, *hellos) == [True, True, True]


@pytest.mark.parametrize("incarnation", ["agent-0.1", "agent-0.2"])
def test_older_dial_is_refused_whoever_answers(
    order: wire.StreamOrder, incarnation: str
) -> None:
    first, second, third = (order.next_number() for _ in range(3))
    assert order.admit(_hello(0, incarnation), second, is_dialled=True)
    assert not order.admit(_hello(0), first, is_dialled=True)
    assert order.admit(_hello(0), third, is_dialled=True)


def test_streams_in_opposite_directions_are_not_compared(
    order: wire.StreamOrder,
) -> None:
    first, second = order.next_number(), order.next_number()
    assert order.admit(_hello(9), second, is_dialled=False)
    assert order.admit(_hello(0), first, is_dialled=True)


def test_hello_of_an_older_build_has_no_number() -> None:
    array = msgpack.unpackb(wire.encode(_hello(5)))
    # The tag comes first.
    position = 1 + wire.Hello.__struct_fields__.index("stream")
    assert array[position] == 5
    (hello,) = wire.Decoder().feed(msgpack.packb(array[:position]))
    assert hello == _hello(0)
