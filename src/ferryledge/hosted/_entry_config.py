"""Keeps an entry's configuration up to date.

Configurations come from the store, or from an agent that reads them for this
entry. A configuration that was read takes effect when the core applies it.
"""

from collections import abc

import anyio
import loguru

from ferryledge.hosted import _config
from ferryledge.hosted import _config_decoder
from ferryledge.hosted import _config_metrics
from ferryledge.hosted import _config_pace
from ferryledge.hosted import _metrics
from ferryledge import leases
from ferryledge import platform
from ferryledge import wire

Post = abc.Callable[[leases.EntryEvent], None]


class _AgentReader(_config.RemoteReader):
    """The agent that reads configurations for this entry.

    :param core: the entry's core, which chooses the agent
    :param post: posts an event to the core
    """

    def __init__(self, core: leases.LeaseEntry, post: Post) -> None:
        self._core = core
        self._post = post

    @property
    def available(self) -> bool:
        """Whether an agent reads configurations for this entry."""
        return bool(self._core.peers.config_reader)

    def timed_out(self) -> None:
        """Replace the agent by another one."""
        loguru.logger.warning(
            "configuration not delivered in time",
            step="config",
            peer=self._core.peers.config_reader,
        )
        self._post(leases.ConfigFetchFailed())


class EntryConfig:
    """Reads configurations, posts them to the core and applies them.

    :param settings: checked settings
    :param store: the platform's store
    :param core: the entry's core, which decides which configuration applies
    :param post: posts an event to the core
    :param registry: serves the metrics
    :param decoder: decodes configurations; the core accepts only those of
        peers that it decodes
    """

    def __init__(
        self,
        settings: platform.Settings,
        store: platform.StoreClient,
        core: leases.LeaseEntry,
        post: Post,
        registry: _metrics.Registry,
        decoder: _config_decoder.ConfigDecoder,
    ) -> None:
        self._post = post
        self._decoder = decoder
        pace = _config_pace.ConfigPace(
            settings.config_apply_s, settings.link_bytes_per_s
        )
        self._follower = _config.OperatorFollower(
            store,
            self._on_config,
            self._on_cordons,
            pace,
            _AgentReader(core, post),
            _config_metrics.ConfigMetrics(registry),
        )
        self._current: platform.Configuration | None = None
        self._loaded = anyio.Event()

    @property
    def current(self) -> platform.Configuration | None:
        """The configuration in force, or none."""
        return self._current

    @property
    def loaded(self) -> anyio.Event:
        """Set once the first configuration is in force."""
        return self._loaded

    async def run(self) -> None:
        """Follow the store until cancelled."""
        await self._follower.run()

    def apply(self, action: leases.ApplyConfig) -> None:
        """Put a configuration in force."""
        config = self._decoder.decode(action.data)
        self._follower.on_delivered(action.log_end, len(action.data))
        self._current = config
        self._loaded.set()
        loguru.logger.info(
            "configuration {} in force", action.version, step="config"
        )

    def _on_config(self, data: bytes) -> None:
        config = self._decoder.decode(data)
        log_end = self._follower.log_end
        self._post(leases.ConfigRead(config.version, data, log_end))

    def _on_cordons(self, cordons: wire.CordonedZones) -> None:
        self._post(leases.CordonsRead(cordons))
