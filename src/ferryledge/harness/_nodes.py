"""Processes in virtual time and the streams between them."""

from collections import abc
import dataclasses
import enum
import typing

from ferryledge import core
from ferryledge.harness import _clock
from ferryledge import wire


class Core(typing.Protocol):
    """What a node needs of a core."""

    def receive(self, now: float, event: core.Event) -> None:
        """Take in one event."""

    def tick(self, now: float) -> list[core.Action]:
        """Return the actions that the events so far call for."""

    def wake_at(self) -> float:
        """Return when to tick at the latest."""

    def hello(self) -> wire.Hello:
        """Return the greeting for a new stream."""


class Moment(enum.Enum):
    """What is about to happen."""

    #: A client's job is on its way to an entry.
    SUBMITTED = "submitted"
    #: A message leaves a node.
    SENT = "sent"
    #: A message reaches a node.
    DELIVERED = "delivered"
    #: A node does something other than to send.
    ACTED = "acted"
    #: A stream opens between two nodes.
    JOINED = "joined"
    #: A record is appended to the log.
    APPENDED = "appended"
    #: An entry reads the log.
    READ = "read"


@dataclasses.dataclass(frozen=True, slots=True)
class Happening:
    """Something that is about to happen, for a hook to look at."""

    moment: Moment
    #: The node at which it happens; none for an operator.
    node: "Node | None" = None
    #: The node at the other end of the stream, if any.
    peer: "Node | None" = None
    #: The message, action or record.
    subject: object = None


#: Returns true to stop what is about to happen.
Hook = abc.Callable[[Happening], bool]


Perform = abc.Callable[["Node", core.Action], None]


class Node:
    """One process: it can be killed, frozen and started again.

    :param name: its name
    :param clock: virtual time
    :param driven: its core
    :param perform: carries out its actions
    """

    def __init__(
        self,
        name: str,
        clock: _clock.Clock,
        driven: Core,
        perform: Perform,
    ) -> None:
        self._clock = clock
        self._perform = perform
        self._ticking = False
        self._wake = float("inf")
        self._inbox: list[core.Event] = []
        self.name = name
        self.core = driven
        self.alive = True
        self.frozen = False
        #: Differs each time the process starts.
        self.life = 0

    @property
    def running(self) -> bool:
        """Whether it is alive and not frozen."""
        return self.alive and not self.frozen

    def post(self, event: core.Event) -> None:
        """Hand an event to the core; a frozen one gets it later."""
        if not self.alive:
            return
        if self.frozen:
            self._inbox.append(event)
            return
        self.core.receive(self._clock.now, event)
        self._schedule_tick()

    def kill(self) -> None:
        """End the process; its memory is lost."""
        self.alive = False
        self.frozen = False
        self._inbox = []
        self.life += 1

    def start(self, driven: Core) -> None:
        """Start the process anew, with a fresh core."""
        self.core = driven
        self.alive = True
        self._ticking = False
        self._wake = float("inf")

    def freeze(self) -> None:
        """Stop the process without its noticing."""
        self.frozen = True

    def resume(self) -> None:
        """Let a frozen process go on."""
        if not self.frozen:
            return
        self.frozen = False
        inbox, self._inbox = self._inbox, []
        for event in inbox:
            self.post(event)
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        if self._ticking:
            return
        self._ticking = True
        life = self.life
        self._clock.after(0.0, lambda: self._tick(life))

    def _tick(self, life: int) -> None:
        if life != self.life:
            return
        self._ticking = False
        if not self.running:
            return
        now = self._clock.now
        if now >= self._wake:
            self._wake = float("inf")
        for action in self.core.tick(now):
            self._perform(self, action)
            if life != self.life:
                return
        self._plan_wake(life)

    def _plan_wake(self, life: int) -> None:
        wake = self.core.wake_at()
        if wake == float("inf") or wake >= self._wake:
            return
        wake = max(wake, self._clock.now + 1e-6)
        self._wake = wake

        def wake_up() -> None:
            if life == self.life and self.running:
                self._schedule_tick()

        self._clock.at(wake, wake_up)


@dataclasses.dataclass(slots=True)
class Stream:
    """The stream between two nodes."""

    first: Node
    second: Node
    delay: float
    up: bool = False
    #: Changes when the stream breaks: what was under way is lost.
    epoch: int = 0
    #: Not to be opened again before then.
    closed_until: float = 0.0
    #: Extra delay of messages, in seconds.
    slow: float = 0.0
    last_delivery: float = 0.0

    def other(self, node: Node) -> Node:
        """Return the node at the other end."""
        return self.second if node is self.first else self.first
