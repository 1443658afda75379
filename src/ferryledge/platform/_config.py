"""The configuration that operators write into the store."""

from collections import abc
import dataclasses

import msgspec

from ferryledge import leases

#: Topic and key of the newest configuration.
CONFIG_TOPIC = "keyed.op"
CONFIG_KEY = "config"
#: What leads the key of a record that cordons the zone it names.
CORDON_PREFIX = "evacuate/"

#: The platform's clients can use an answer until three times the objective;
#: after that it counts as none.
_LATE_FACTOR = 3.0


class ConfigError(Exception):
    """The configuration can't be read."""


class _Part(msgspec.Struct, frozen=True, rename="pascal"):
    """A table of the configuration; unknown fields are passed over."""


class _Route(_Part, frozen=True):
    name: str
    hostname: str
    path_prefix: str
    #: Name of the service that runs its tasks.
    backend: str
    #: Added to the stretched work, in ms.
    target_latency_ms: float = 0
    #: 0 comes first.
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0


class _Config(_Part, frozen=True):
    version: int
    routes: tuple[_Route, ...] = ()


def cordoned_zone(key: str) -> str | None:
    """Return the zone that a record under a key cordons; none if none.

    It does while it stands, whatever its value holds.
    """
    if not key.startswith(CORDON_PREFIX):
        return None
    return key[len(CORDON_PREFIX) :]


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A queue of jobs, as clients address it."""

    hostname: str
    path_prefix: str
    job_class: leases.JobClass


class Configuration:
    """The whole configuration at one version.

    A queue is made when it is first looked for: most of a large configuration
    is asked for seldom, and to make it all holds up the process.

    :param version: its version
    :param routes: as operators wrote them
    """

    def __init__(self, version: int, routes: abc.Iterable[_Route]) -> None:
        self._version = version
        #: Those of each host, the longest prefix first.
        self._by_hostname: dict[str, list[_Route]] = {}
        for route in routes:
            host = route.hostname.lower()
            self._by_hostname.setdefault(host, []).append(route)
        for several in self._by_hostname.values():
            several.sort(key=_prefix_length, reverse=True)
        self._made: dict[tuple[str, str], Route] = {}

    @property
    def version(self) -> int:
        """Rises with each change."""
        return self._version

    def find(self, hostname: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or none."""
        for route in self._by_hostname.get(hostname, ()):
            if path.startswith(route.path_prefix):
                return self._make(hostname, route)
        return None

    def _make(self, hostname: str, route: _Route) -> Route:
        place = hostname, route.path_prefix
        if place not in self._made:
            self._made[place] = Route(*place, _job_class(route))
        return self._made[place]


def _job_class(route: _Route) -> leases.JobClass:
    return leases.JobClass(
        route.name,
        route.backend,
        route.priority,
        route.attempts,
        route.stretch,
        route.target_latency_ms / 1000.0,
        _LATE_FACTOR,
    )


def _prefix_length(route: _Route) -> int:
    return len(route.path_prefix)


def _decode(data: bytes) -> _Config:
    try:
        return msgspec.json.decode(data, type=_Config)
    except msgspec.DecodeError as exc:
        raise ConfigError(f"unreadable configuration: {exc}") from exc


def config_version(data: bytes) -> int:
    """Return the version of what a record's value holds.

    :raises ConfigError: if it is not valid
    """
    return _decode(data).version


def parse_config(data: bytes) -> Configuration:
    """Return the configuration that a record's value holds.

    :raises ConfigError: if it is not valid
    """
    config = _decode(data)
    return Configuration(config.version, config.routes)
