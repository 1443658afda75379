"""The peers connected to an entry, and the messages queued for them."""

from collections import abc
import dataclasses

from ferryledge.core import _actions
from ferryledge import wire

#: A tick delayed by more than this many seconds counts as a process pause.
PAUSE_THRESHOLD_S = 0.8


@dataclasses.dataclass(slots=True)
class Peer:
    """A connected entry or agent, and its state as last reported."""

    hello: wire.Hello
    #: It is shutting down and gets no new work.
    leaving: bool = False
    #: It went silent while it held work, and has sent nothing since.
    is_suspect: bool = False
    #: When the last message was received, in monotonic seconds.
    last_received: float = 0.0
    #: When the last message was sent, in monotonic seconds.
    last_sent: float = 0.0
    #: The newest configuration version that it reported.
    config_version: int = 0
    #: Number of tasks in its queue, as last reported.
    waiting: int = 0
    #: Fraction of its slots in use, as last reported.
    load: float = 0.0
    #: Whether the stream has carried a job; keep-alives are then sent
    #: more often.
    busy: bool = False

    @property
    def name(self) -> str:
        """The name of the process."""
        return self.hello.name

    @property
    def incarnation(self) -> str:
        """Identifies this start of the process."""
        return self.hello.incarnation


class Peers:
    """The table of connected peers and the queue of outgoing actions.

    :param keepalive_s: seconds without a sent message until a keep-alive
        is sent
    :param busy_keepalive_s: the same for busy peers
    """

    def __init__(self, keepalive_s: float, busy_keepalive_s: float) -> None:
        self._keepalive_s = keepalive_s
        self._busy_keepalive_s = busy_keepalive_s
        self._rows: dict[str, Peer] = {}
        self._actions: list[_actions.Action] = []

    def __iter__(self) -> abc.Iterator[Peer]:
        return iter(self._rows.values())

    def find(self, name: str) -> Peer | None:
        """Return a connected peer, or ``None``."""
        return self._rows.get(name)

    def up(self, hello: wire.Hello, now: float) -> Peer:
        """Add the peer of a new stream and return it."""
        peer = Peer(
            hello,
            leaving=hello.leaving,
            last_received=now,
            last_sent=now,
            config_version=hello.config_version,
        )
        self._rows[hello.name] = peer
        return peer

    def down(self, name: str, incarnation: str) -> Peer | None:
        """Remove the peer of a closed stream and return it.

        :return: the peer, or ``None`` if this incarnation is not connected
        """
        peer = self._rows.get(name)
        if peer is None or peer.incarnation != incarnation:
            return None
        return self._rows.pop(name)

    def of_role(self, role: wire.Role) -> list[Peer]:
        """Return the connected peers that have a role."""
        return [peer for peer in self if peer.hello.role is role]

    def send(self, now: float, name: str, message: wire.Message) -> bool:
        """Queue a message to a peer.

        :return: false if the peer is not connected; nothing is queued then
        """
        peer = self._rows.get(name)
        if peer is None:
            return False
        peer.last_sent = now
        self._actions.append(_actions.Send(name, message))
        return True

    def do(self, action: _actions.Action) -> None:
        """Queue an action other than a message to a peer."""
        self._actions.append(action)

    def pop_actions(self) -> list[_actions.Action]:
        """Return the queued actions and clear the queue."""
        actions = self._actions
        self._actions = []
        return actions

    def send_keepalives(
        self, now: float, version: int, waiting: int, load: float
    ) -> None:
        """Queue keep-alives to peers that were sent nothing recently."""
        for peer in list(self._rows.values()):
            if now >= peer.last_sent + self._keepalive_interval(peer):
                alive = wire.KeepAlive(version, waiting, load)
                self.send(now, peer.name, alive)

    def wake_at(self) -> float:
        """Return when the next keep-alive is due, in monotonic seconds."""
        return min(
            (peer.last_sent + self._keepalive_interval(peer) for peer in self),
            default=float("inf"),
        )

    def reset_silence_timers(self, now: float) -> None:
        """Treat all peers as heard from now, after this process was paused."""
        for peer in self._rows.values():
            peer.last_received = now

    def _keepalive_interval(self, peer: Peer) -> float:
        return self._busy_keepalive_s if peer.busy else self._keepalive_s
