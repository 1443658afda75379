"""The faults, each applied to what happens at a step."""

import dataclasses
import enum
import functools

from ferryledge import harness
from ferryledge.proofs import _steps
from ferryledge import wire

_CUT_S = 0.3
_HALF_OPEN_S = 1.2
_FREEZE_S = 1.5
_PAUSE_S = 8.0
_DELAY_S = 1.0
_REPEAT_S = 0.005
_REORDER_S = 0.02
_LOG_FAULT_S = 6.0
_LOG_SLOW_S = 2.0
_ENDPOINT_FAULT_S = 2.0
_STRAGGLE = 6.0
_AFTER_DELIVERY_S = 0.0006


class Fault(enum.StrEnum):
    """What can go wrong."""

    KILL_BEFORE = "kill before"
    KILL_AFTER = "kill after"
    KILL_PEER = "kill peer"
    FREEZE = "freeze"
    PAUSE = "pause beyond lease"
    CUT_BEFORE = "cut before"
    CUT_AFTER = "cut after"
    HALF_OPEN = "half open"
    LOST_ANSWER = "lost answer"
    DELAY = "delay"
    REPEAT = "repeat"
    REORDER = "reorder"
    LOG_DOWN = "log down"
    LOG_SLOW = "log slow"
    LIST_STALE = "list stale"
    LIST_EMPTY = "list empty"
    ENDPOINT_FAILS = "endpoint fails all"
    ENDPOINT_STRAGGLES = "endpoint straggles"


_MESSAGE_FAULTS = frozenset(
    {
        Fault.CUT_BEFORE,
        Fault.CUT_AFTER,
        Fault.HALF_OPEN,
        Fault.LOST_ANSWER,
        Fault.DELAY,
        Fault.REPEAT,
        Fault.REORDER,
        Fault.KILL_PEER,
    }
)
_OPEN_STREAM_FAULTS = frozenset(
    {Fault.DELAY, Fault.REPEAT, Fault.REORDER, Fault.HALF_OPEN}
)
_OPERATOR_FAULTS = frozenset(
    {Fault.KILL_AFTER, Fault.FREEZE, Fault.PAUSE, Fault.KILL_PEER}
)


def not_applicable(step: _steps.Step, fault: Fault) -> str:
    """Return why a fault can't strike at a step, or an empty string."""
    if step is _steps.Step.PUBLISH:
        if fault in (Fault.CUT_AFTER, Fault.LOST_ANSWER, Fault.REPEAT):
            return ""
        if fault in _OPERATOR_FAULTS:
            return "the operator's command keeps nothing"
        if fault in (Fault.DELAY, Fault.REORDER, Fault.HALF_OPEN):
            return "same as a slow log"
        return ""
    moment = _steps.TRIGGERS[step].moment
    on_wire = (harness.Moment.SENT, harness.Moment.JOINED)
    if fault in _MESSAGE_FAULTS and moment not in on_wire:
        return "no message between processes at this step"
    joined = moment is harness.Moment.JOINED
    if joined and fault in _OPEN_STREAM_FAULTS:
        return "the stream is not open yet"
    return ""


@dataclasses.dataclass(slots=True)
class Strike:
    """One fault that waits for its step.

    It strikes at the given occurrence of the step.
    """

    step: _steps.Step
    fault: Fault
    occurrence: int
    seen: int = 0
    struck: bool = False

    def look(self, world: harness.World, happening: harness.Happening) -> bool:
        """Strike if it is time; return whether to stop what happens."""
        trigger = _steps.TRIGGERS[self.step]
        if self.struck or not trigger.matches(happening):
            return False
        self.seen += 1
        if self.seen < self.occurrence:
            return False
        self.struck = True
        if trigger.actor_is_peer:
            happening = dataclasses.replace(
                happening, node=happening.peer, peer=happening.node
            )
        if trigger.delay_s:
            world.clock.after(
                trigger.delay_s,
                functools.partial(self._apply_later, world, happening),
            )
            return False
        return _apply(world, self.fault, happening)

    def _apply_later(
        self, world: harness.World, happening: harness.Happening
    ) -> None:
        _apply(world, self.fault, happening)


def _apply(
    world: harness.World, fault: Fault, happening: harness.Happening
) -> bool:
    match fault:
        case Fault.KILL_BEFORE | Fault.KILL_AFTER | Fault.KILL_PEER:
            return _kill(world, fault, happening)
        case Fault.FREEZE | Fault.PAUSE:
            if happening.node is not None:
                length = _FREEZE_S if fault is Fault.FREEZE else _PAUSE_S
                world.freeze(happening.node.name, length)
            return False
        case Fault.LOG_DOWN | Fault.LOG_SLOW:
            _disturb_log(world, fault)
            return False
        case Fault.LIST_STALE:
            world.list_stale = True
            return False
        case Fault.LIST_EMPTY:
            world.list_empty = True
            return False
        case Fault.ENDPOINT_FAILS | Fault.ENDPOINT_STRAGGLES:
            _disturb_endpoint(world, fault, happening)
            return False
    return _disturb_message(world, fault, happening)


def _kill(
    world: harness.World, fault: Fault, happening: harness.Happening
) -> bool:
    node = happening.peer if fault is Fault.KILL_PEER else happening.node
    if node is None:
        return True
    if fault is Fault.KILL_BEFORE:
        world.kill(node.name)
        return True
    name = node.name
    world.clock.after(_AFTER_DELIVERY_S, lambda: world.kill(name))
    return False


def _disturb_log(world: harness.World, fault: Fault) -> None:
    usual = world.log.delay_s
    if fault is Fault.LOG_DOWN:
        world.log.down = True
    else:
        world.log.delay_s = _LOG_SLOW_S

    def restore() -> None:
        world.log.down = False
        world.log.delay_s = usual

    world.clock.after(_LOG_FAULT_S, restore)


def _disturb_endpoint(
    world: harness.World, fault: Fault, happening: harness.Happening
) -> None:
    names = [
        node.name
        for node in (happening.node, happening.peer)
        if node is not None and node.name in world.endpoints.states
    ]
    state = world.endpoints.states[names[0] if names else "agent-1"]
    if fault is Fault.ENDPOINT_FAILS:
        state.fail_all = True
    else:
        state.slowdown = _STRAGGLE

    def restore() -> None:
        state.fail_all = False
        state.slowdown = 1.0

    world.clock.after(_ENDPOINT_FAULT_S, restore)


def _disturb_message(
    world: harness.World, fault: Fault, happening: harness.Happening
) -> bool:
    node, peer = happening.node, happening.peer
    if node is None or peer is None:
        return _disturb_publication(world, fault)
    first, second = node.name, peer.name
    if fault is Fault.CUT_BEFORE:
        world.cut(first, second, _CUT_S)
        return True
    if fault is Fault.CUT_AFTER:
        world.clock.after(
            _AFTER_DELIVERY_S, lambda: world.cut(first, second, _CUT_S)
        )
        return False
    if fault is Fault.HALF_OPEN:
        world.half_open(first, second, _HALF_OPEN_S)
        return False
    if fault is Fault.LOST_ANSWER:
        _lose_answer(world, first, second)
        return False
    stream = world.stream(first, second)
    message = happening.subject
    if not isinstance(message, wire.Message):
        return False
    if fault is Fault.DELAY:
        stream.last_delivery = max(stream.last_delivery, world.now + _DELAY_S)
        return False
    repeat = fault is Fault.REPEAT
    extra = _REPEAT_S if repeat else _REORDER_S
    if stream.up:
        world.deliver(stream, node, message, extra, in_order=False)
    return not repeat


def _disturb_publication(world: harness.World, fault: Fault) -> bool:
    if fault is Fault.CUT_BEFORE:
        return True
    world.log.lose_answers = True

    def restore() -> None:
        world.log.lose_answers = False

    world.clock.after(_LOG_FAULT_S, restore)
    return False


def _lose_answer(world: harness.World, first: str, second: str) -> None:
    """Break the stream just when the peer answers."""
    previous = world.hook

    def hook(happening: harness.Happening) -> bool:
        node, peer = happening.node, happening.peer
        answer = (
            happening.moment is harness.Moment.SENT
            and node is not None
            and peer is not None
            and (node.name, peer.name) == (second, first)
        )
        if not answer:
            return previous is not None and previous(happening)
        world.hook = previous
        world.cut(first, second, _CUT_S)
        return True

    world.hook = hook
