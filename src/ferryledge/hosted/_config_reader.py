"""Reads configurations for entries with narrow links.

The store returns only whole configurations. An agent reads them and sends
each entry the difference to the configuration that the entry already has.
"""

from collections import abc

import anyio
import loguru

from ferryledge.hosted import _config
from ferryledge.hosted import _config_pace
from ferryledge import leases
from ferryledge import platform
from ferryledge import wire

#: Upper limit of the link's assumed bandwidth, in bytes per second. It is high
#: enough that a read completes well before entries would read by themselves,
#: and keeps reads from using all of a wide link.
_MAX_LINK_BYTES_PER_S = 5_000_000.0

Send = abc.Callable[[str, wire.Message], None]


class ConfigReader:
    """Follows the operators' log while any entry requests configurations.

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
        bandwidth = min(_MAX_LINK_BYTES_PER_S, settings.link_bytes_per_s)
        self._pace = _config_pace.ConfigPace(
            settings.config_apply_s, bandwidth
        )
        self._send = send
        self._exchange = leases.ConfigExchange()
        #: Digest of the configuration that each entry has.
        self._entries: dict[str, bytes] = {}
        self._requested = anyio.Event()
        self._scope: anyio.CancelScope | None = None
        self._follower = self._new_follower()

    def _new_follower(self) -> _config.OperatorFollower:
        return _config.OperatorFollower(
            self._store, self._on_config, self._on_cordons, self._pace
        )

    @property
    def entries(self) -> int:
        """Number of entries that configurations are read for."""
        return len(self._entries)

    def handle(self, event: wire.StreamEvent) -> bool:
        """Handle requests for configurations and changes of streams.

        :return: whether the event needs no further handling
        """
        match event:
            case wire.Received(peer, wire.ConfigRequest(digest)):
                self._subscribe(peer, digest)
                return True
            case wire.PeerDown(peer):
                self._unsubscribe(peer)
            case wire.PeerUp(hello):
                # An entry repeats its request on a new stream.
                self._unsubscribe(hello.name)
        return False

    def _subscribe(self, peer: str, digest: bytes) -> None:
        if peer not in self._entries:
            loguru.logger.info(
                "reading configurations for an entry", step="config", peer=peer
            )
        self._entries[peer] = digest
        self._requested.set()
        self._send_current(peer)

    def _unsubscribe(self, peer: str) -> None:
        self._entries.pop(peer, None)
        if not self._entries and self._scope is not None:
            self._scope.cancel()

    async def run(self) -> None:
        """Follow the log until cancelled, whenever an entry requests it."""
        while True:
            while not self._entries:
                self._requested = anyio.Event()
                await self._requested.wait()
            self._follower = self._new_follower()
            with anyio.CancelScope() as self._scope:
                await self._follower.run()

    def _on_config(self, data: bytes) -> None:
        version = platform.config_version(data)
        log_end = self._follower.log_end
        if self._exchange.learn(version, data, log_end):
            for peer in self._entries:
                self._send_current(peer)

    def _send_current(self, peer: str) -> None:
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

    def _on_cordons(self, cordons: wire.CordonedZones) -> None:
        for peer in self._entries:
            self._send(peer, cordons)
