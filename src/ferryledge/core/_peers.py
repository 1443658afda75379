"""The peers of an entry: who is connected, silent, or leaving."""

from collections import abc
import dataclasses

from ferryledge.core import _actions
from ferryledge import wire

#: A tick that comes this much late means that this process was paused.
PAUSE_S = 0.8


@dataclasses.dataclass(slots=True)
class Peer:
    """One connected process."""

    hello: wire.Hello
    leaving: bool = False
    #: It went silent with work in hand, and was not heard since.
    is_suspect: bool = False
    last_heard: float = 0.0
    last_sent: float = 0.0
    config_version: int = 0
    #: Tasks that wait in its queue, as last told.
    waiting: int = 0
    #: Share of its slots in use, as last told.
    load: float = 0.0
    #: Something is outstanding on the stream, in either direction.
    busy: bool = False

    @property
    def name(self) -> str:
        """The peer's name."""
        return self.hello.name

    @property
    def incarnation(self) -> str:
        """The peer's incarnation."""
        return self.hello.incarnation


class Peers:
    """The table of connected peers, and what goes out to them.

    :param keepalive_s: seconds of silence before a keep-alive
    :param busy_keepalive_s: the same while something is outstanding
    """

    def __init__(self, keepalive_s: float, busy_keepalive_s: float) -> None:
        self._keepalive_s = keepalive_s
        self._busy_keepalive_s = busy_keepalive_s
        self._rows: dict[str, Peer] = {}
        self._actions: list[_actions.Action] = []

    def __iter__(self) -> abc.Iterator[Peer]:
        return iter(self._rows.values())

    def find(self, name: str) -> Peer | None:
        """Return a connected peer, or none."""
        return self._rows.get(name)

    def up(self, hello: wire.Hello, now: float) -> Peer:
        """Note an open stream."""
        peer = Peer(
            hello,
            leaving=hello.leaving,
            last_heard=now,
            last_sent=now,
            config_version=hello.config_version,
        )
        self._rows[hello.name] = peer
        return peer

    def down(self, name: str, incarnation: str) -> Peer | None:
        """Note a broken stream and return the peer, if it was known."""
        peer = self._rows.get(name)
        if peer is None or peer.incarnation != incarnation:
            return None
        return self._rows.pop(name)

    def of_role(self, role: wire.Role) -> list[Peer]:
        """Return the connected peers of a role."""
        return [one for one in self if one.hello.role is role]

    def send(self, now: float, name: str, message: wire.Message) -> bool:
        """Queue a message.

        :return: false if there is no stream, so that it was never sent
        """
        peer = self._rows.get(name)
        if peer is None:
            return False
        peer.last_sent = now
        self._actions.append(_actions.Send(name, message))
        return True

    def do(self, action: _actions.Action) -> None:
        """Queue another action."""
        self._actions.append(action)

    def pop_actions(self) -> list[_actions.Action]:
        """Return the queued actions and forget them."""
        actions = self._actions
        self._actions = []
        return actions

    def send_keepalives(
        self, now: float, version: int, waiting: int, load: float
    ) -> None:
        """Queue keep-alives on streams that were silent for long."""
        for peer in list(self._rows.values()):
            if now >= peer.last_sent + self._interval(peer):
                alive = wire.KeepAlive(version, waiting, load)
                self.send(now, peer.name, alive)

    def wake_at(self) -> float:
        """Return when the next keep-alive is due."""
        return min(
            (one.last_sent + self._interval(one) for one in self),
            default=float("inf"),
        )

    def reset_silence_timers(self, now: float) -> None:
        """Start all silences anew, after this process was paused."""
        for peer in self._rows.values():
            peer.last_heard = now

    def _interval(self, peer: Peer) -> float:
        return self._busy_keepalive_s if peer.busy else self._keepalive_s
