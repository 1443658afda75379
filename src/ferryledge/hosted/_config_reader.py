"""Reads configurations for entries whose links are narrow.

The store gives a configuration only whole; what an entry is sent is the
difference to the one that it has.
"""

from collections import abc

import anyio
import loguru

from ferryledge.hosted import _config
from ferryledge.hosted import _config_pace
from ferryledge import leases
from ferryledge import platform
from ferryledge import wire

#: The link, in bytes a second, that reading for others counts on at the most.
#: A large configuration then takes less than 0.1 s, so that entries need not
#: read it too, and not all of a wide link.
_MOST_LINK = 5_000_000.0

Send = abc.Callable[[str, wire.Message], None]


class ConfigReader:
    """Follows the operators' log while some entry wants it.

    :param store: the platform's store
    :param settings: checked settings
    :param send: sends a message to a peer
    """

    def __init__(
        self,
        store: platform.StoreClient,
        settings: platform.Settings,
        send: Send,
    ) -> None:
        self._store = store
        link = min(_MOST_LINK, settings.link_bytes_per_s)
        self._pace = _config_pace.ConfigPace(settings.config_apply_s, link)
        self._send = send
        self._exchange = leases.ConfigExchange()
        #: What each entry has, by its digest.
        self._entries: dict[str, bytes] = {}
        self._wanted = anyio.Event()
        self._scope: anyio.CancelScope | None = None
        self._follower = self._new_follower()

    def _new_follower(self) -> _config.OperatorFollower:
        return _config.OperatorFollower(
            self._store, self._read, self._cordoned, self._pace
        )

    @property
    def entries(self) -> int:
        """How many entries it reads for."""
        return len(self._entries)

    def take(self, event: wire.StreamEvent) -> bool:
        """Take in what concerns configurations.

        :return: whether that was all of the event
        """
        match event:
            case wire.Received(peer, wire.ConfigRequest(digest)):
                self._follow(peer, digest)
                return True
            case wire.PeerDown(peer):
                self._forget(peer)
            case wire.PeerUp(hello):
                # It asks anew on a new stream.
                self._forget(hello.name)
        return False

    def _follow(self, peer: str, digest: bytes) -> None:
        if peer not in self._entries:
            loguru.logger.info(
                "configurations read for an entry", step="config", peer=peer
            )
        self._entries[peer] = digest
        self._wanted.set()
        self._tell(peer)

    def _forget(self, peer: str) -> None:
        self._entries.pop(peer, None)
        if not self._entries and self._scope is not None:
            self._scope.cancel()

    async def run(self) -> None:
        """Follow the log whenever some entry wants it, for ever."""
        while True:
            while not self._entries:
                self._wanted = anyio.Event()
                await self._wanted.wait()
            self._follower = self._new_follower()
            with anyio.CancelScope() as self._scope:
                await self._follower.run()

    def _read(self, data: bytes) -> None:
        version = platform.config_version(data)
        log_end = self._follower.log_end
        if self._exchange.learn(version, data, log_end):
            for peer in self._entries:
                self._tell(peer)

    def _tell(self, peer: str) -> None:
        digest = self._exchange.digest
        if not digest or self._entries[peer] == digest:
            return
        delta = self._exchange.delta_for(self._entries[peer])
        self._entries[peer] = digest
        self._send(peer, delta)
        loguru.logger.info(
            "configuration {} sent: {} bytes, {} pieces",
            delta.version,
            len(delta.packed),
            len(delta.pieces),
            step="config",
            peer=peer,
        )

    def _cordoned(self, state: wire.CordonedZones) -> None:
        for peer in self._entries:
            self._send(peer, state)
