"""The configuration that an entry goes by, and where it comes from."""

from collections import abc

import anyio
import loguru

from ferryledge.hosted import _config
from ferryledge.hosted import _config_metrics
from ferryledge.hosted import _config_pace
from ferryledge.hosted import _metrics
from ferryledge import leases
from ferryledge import platform
from ferryledge import wire

Post = abc.Callable[[leases.EntryEvent], None]


class _Bringer(_config.ConfigBringer):
    """The agent that reads configurations for this entry.

    :param core: knows which one that is
    :param post: hands an event to it
    """

    def __init__(self, core: leases.LeaseEntry, post: Post) -> None:
        self._core = core
        self._post = post

    @property
    def present(self) -> bool:
        """Whether some agent reads for this entry."""
        return bool(self._core.peers.config_reader)

    def missed(self) -> None:
        """Let another agent read from now on."""
        loguru.logger.warning(
            "configuration not brought",
            step="config",
            peer=self._core.peers.config_reader,
        )
        self._post(leases.ConfigFetchFailed())


class EntryConfig:
    """Reads configurations, hands them to the core, applies them.

    :param settings: checked settings
    :param store: the platform's store
    :param core: decides which configuration counts
    :param post: hands an event to it
    :param registry: where figures are served from
    """

    def __init__(
        self,
        settings: platform.Settings,
        store: platform.StoreClient,
        core: leases.LeaseEntry,
        post: Post,
        registry: _metrics.Registry,
    ) -> None:
        self._post = post
        pace = _config_pace.ConfigPace(
            settings.config_apply_s, settings.link_bytes_per_s
        )
        self._follower = _config.OperatorFollower(
            store,
            self._read,
            self._cordoned,
            pace,
            _Bringer(core, post),
            _config_metrics.ConfigMetrics(registry),
        )
        self._current: platform.Configuration | None = None
        #: The one that was read last; in force once the core says so.
        self._parsed: platform.Configuration | None = None
        self._arrived = anyio.Event()

    @property
    def current(self) -> platform.Configuration | None:
        """The configuration in force, or none."""
        return self._current

    @property
    def arrived(self) -> anyio.Event:
        """Set once one is in force."""
        return self._arrived

    async def run(self) -> None:
        """Follow the store for ever."""
        await self._follower.run()

    def apply(self, action: leases.ApplyConfig) -> None:
        """Let requests go by a configuration from now on."""
        self._follower.bring(action.log_end, len(action.data))
        config = self._parsed
        if config is None or config.version != action.version:
            # Another process sent it, which has read it.
            try:
                config = platform.parse_config(action.data)
            except platform.ConfigError as exc:
                loguru.logger.error("{}", exc, step="config")
                return
        self._current = config
        self._arrived.set()
        loguru.logger.info(
            "configuration {} in force", action.version, step="config"
        )

    def _read(self, data: bytes) -> None:
        config = self._parsed = platform.parse_config(data)
        log_end = self._follower.log_end
        self._post(leases.ConfigRead(config.version, data, log_end))

    def _cordoned(self, cordons: wire.CordonedZones) -> None:
        self._post(leases.CordonsRead(cordons))
