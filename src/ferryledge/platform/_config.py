"""Decoding of the configuration that operators write to the store."""

from collections import abc
import dataclasses

import msgspec

from ferryledge import decoding
from ferryledge import leases

#: Topic and key of the record that holds the configuration.
CONFIG_TOPIC = "keyed.op"
CONFIG_KEY = "config"
#: Key prefix of a record that cordons a zone; the zone's name follows.
CORDON_PREFIX = "evacuate/"

#: Multiple of the latency objective until which an answer is useful to the
#: platform's clients.
_LATE_FACTOR = 3.0
#: Bounds of the latency objective's parts.
_MAX_STRETCH = 1e6
_MAX_TARGET_S = 1e6


class ConfigError(Exception):
    """The configuration is malformed."""


class _Table(msgspec.Struct, frozen=True, rename="pascal"):
    """A table of the configuration; unknown fields are ignored."""


class _Route(_Table, frozen=True):
    name: str
    hostname: str
    path_prefix: str
    #: Name of the service whose endpoints run the tasks.
    backend: str
    #: Constant part of the latency objective in ms.
    target_latency_ms: float = 0
    #: 0 is the most urgent.
    priority: int = 0
    attempts: int = 1
    #: Multiple of the longest task's run time in the latency objective.
    stretch: float = 1.0


class _Config(_Table, frozen=True):
    version: decoding.Natural
    routes: tuple[_Route, ...] = ()


def cordoned_zone(key: str) -> str | None:
    """Return the zone that a record cordons, or ``None`` for other keys.

    The zone is cordoned while the record exists, whatever its value.

    :param key: key of the record
    """
    if not key.startswith(CORDON_PREFIX):
        return None
    return key[len(CORDON_PREFIX) :]


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A queue of jobs and the address that clients submit them to."""

    hostname: str
    path_prefix: str
    job_class: leases.JobClass


class Configuration:
    """One version of the whole configuration.

    A route is converted when it is first looked up. Converting all routes of
    a large configuration at once would block the event loop, and most of
    them are rarely used.

    :param version: version of the configuration
    :param routes: the decoded routes
    """

    def __init__(self, version: int, routes: abc.Iterable[_Route]) -> None:
        self._version = version
        #: Routes of each host name, the longest path prefix first.
        self._by_hostname: dict[str, list[_Route]] = {}
        for route in routes:
            host = route.hostname.lower()
            self._by_hostname.setdefault(host, []).append(route)
        for host_routes in self._by_hostname.values():
            host_routes.sort(key=_prefix_length, reverse=True)
        self._converted: dict[tuple[str, str], Route] = {}

    @property
    def version(self) -> int:
        """Version number, which increases with each change."""
        return self._version

    def find(self, hostname: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or ``None``.

        :param hostname: host name in lower case
        :param path: path of the request
        """
        for route in self._by_hostname.get(hostname, ()):
            if path.startswith(route.path_prefix):
                return self._convert(hostname, route)
        return None

    def _convert(self, hostname: str, route: _Route) -> Route:
        route_key = hostname, route.path_prefix
        if route_key not in self._converted:
            self._converted[route_key] = Route(*route_key, _job_class(route))
        return self._converted[route_key]


def _job_class(route: _Route) -> leases.JobClass:
    """Return the job class of a route.

    Numbers out of range count as the nearest one in range. A configuration is
    in force as a whole, so an error would affect its other routes as well.
    """
    limit = decoding.MAX_INTEGER
    target_s = route.target_latency_ms / 1000.0
    return leases.JobClass(
        route.name,
        route.backend,
        max(-limit, min(route.priority, limit)),
        max(-limit, min(route.attempts, limit)),
        max(0.0, min(route.stretch, _MAX_STRETCH)),
        max(0.0, min(target_s, _MAX_TARGET_S)),
        _LATE_FACTOR,
    )


def _prefix_length(route: _Route) -> int:
    return len(route.path_prefix)


def _decode(data: bytes) -> _Config:
    try:
        return decoding.decode_json(data, _Config)
    except decoding.DecodingError as exc:
        raise ConfigError(f"unreadable configuration: {exc}") from exc


def config_version(data: bytes) -> int:
    """Return the version of an encoded configuration.

    :param data: value of the configuration's record
    :raises ConfigError: if the configuration is malformed
    """
    return _decode(data).version


def parse_config(data: bytes) -> Configuration:
    """Decode a configuration.

    :param data: value of the configuration's record
    :raises ConfigError: if the configuration is malformed
    """
    config = _decode(data)
    return Configuration(config.version, config.routes)
