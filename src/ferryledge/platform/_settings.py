"""The settings file that the platform provides to each process."""

import math
import os
import pathlib
import tomllib
import typing
from urllib import parse

import msgspec

#: Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "FERRYLEDGE_CONFIG"
_BYTES_PER_MBIT = 125_000.0
_LAST_PORT = 65535

_Port = typing.Annotated[int, msgspec.Meta(ge=1, le=_LAST_PORT)]
#: A duration, factor or rate. The bounds exclude infinity and NaN, which are
#: numbers in TOML.
_Amount = typing.Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]
_PositiveAmount = typing.Annotated[float, msgspec.Meta(gt=0.0, le=1e9)]


class SettingsError(Exception):
    """The settings file is missing or invalid.

    The message names the variable, file, field or address at fault.
    """


class _Table(msgspec.Struct, frozen=True, rename="pascal"):
    """A table of the settings file; unknown fields are ignored."""


class Listen(_Table, frozen=True):
    """Addresses to listen on, as ``host:port``; empty if unused."""

    frontend: str = ""
    readiness: str = ""
    #: Receives the endpoint's heartbeats; used by agents only.
    control_plane: str = ""


class Bounds(_Table, frozen=True):
    """Times and factors that the platform guarantees or requires."""

    #: Maximum duration of a lease at an endpoint, in ms.
    hold_max_ms: _PositiveAmount = 1000
    #: Maximum time that an endpoint takes to stop a run, in ms.
    stop_ms: _Amount = 50
    #: Seconds between SIGTERM and SIGKILL.
    grace_s: _Amount = 6
    #: Factor on the run time of a task that isn't near its data.
    far_x: _PositiveAmount = 1.0
    #: Time within which a new configuration must be in force, in ms.
    config_apply_ms: _PositiveAmount = 2000


class Limits(_Table, frozen=True):
    """Resources of the machine that this process may use."""

    #: Bandwidth of the network link in Mbit/s; 0 is unknown.
    link_mbps: _Amount = 0.0


class Store(_Table, frozen=True):
    """The platform's log store."""

    address: str = ""
    #: Number of partitions of each topic.
    partitions: int = msgspec.field(name="parts", default=1)


class Settings(_Table, frozen=True):
    """The settings of one process."""

    #: The machine's name, unique in the deployment.
    node: str
    #: IP address at which peers reach this process.
    ip: str
    #: The machine's availability zone.
    zone: str
    #: First and last port available for streams between processes.
    port_range: tuple[_Port, _Port]
    listen_addrs: Listen = Listen()
    bounds: Bounds = Bounds()
    limits: Limits = Limits()
    #: Addresses of processes to discover entries from; may be stale.
    seeds: tuple[str, ...] = ()
    store: Store = msgspec.field(name="platform", default=Store())
    #: ``host:port`` of the agent's endpoint; empty at entries.
    endpoint: str = msgspec.field(name="app", default="")

    #: Address to listen on for streams if it differs from ``ip``.
    listen_ip: str = ""

    @property
    def max_lease_s(self) -> float:
        """Maximum duration of a lease at an endpoint, in seconds."""
        return self.bounds.hold_max_ms / 1000.0

    @property
    def max_stop_s(self) -> float:
        """Maximum time that an endpoint takes to stop a run, in seconds."""
        return self.bounds.stop_ms / 1000.0

    @property
    def config_apply_s(self) -> float:
        """Seconds within which a new configuration must be in force."""
        return self.bounds.config_apply_ms / 1000.0

    @property
    def link_bytes_per_s(self) -> float:
        """Bandwidth of the network link; infinite if unknown."""
        mbps = self.limits.link_mbps
        return mbps * _BYTES_PER_MBIT if mbps > 0.0 else math.inf

    @property
    def stream_host(self) -> str:
        """Address to listen on for streams."""
        return self.listen_ip or self.ip

    @property
    def stream_port(self) -> int:
        """Port for streams between processes; the same on all machines."""
        return self.port_range[0]


def parse_settings(text: str) -> Settings:
    """Decode the text of a settings file.

    :raises SettingsError: if the text is not valid TOML or a field is missing
        or invalid
    """
    try:
        table: typing.Any = tomllib.loads(text)
    except (ValueError, RecursionError) as exc:
        raise SettingsError(
            f"the settings file is not valid TOML: {exc}"
        ) from exc
    try:
        settings = msgspec.convert(table, Settings)
    except msgspec.ValidationError as exc:
        raise SettingsError(f"invalid setting: {exc}") from exc
    _check_addresses(settings)
    return settings


def _check_addresses(settings: Settings) -> None:
    """Check the addresses that this process calls, if they are set.

    :raises SettingsError: if one has another form than ``host:port``
    """
    addresses = {
        "platform.Address": settings.store.address,
        "app": settings.endpoint,
    }
    for name, address in addresses.items():
        if not address:
            continue
        try:
            split_address(address)
        except SettingsError as exc:
            raise SettingsError(f"invalid setting {name}: {exc}") from exc


def read_settings() -> Settings:
    """Read the settings file of this process.

    :raises SettingsError: if the file can't be read or is invalid
    """
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SettingsError(
            f"set {SETTINGS_VARIABLE} to the path of the settings file"
        )
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as exc:
        raise SettingsError(f"can't read {path}: {exc.strerror}") from exc
    except UnicodeDecodeError as exc:
        raise SettingsError(f"{path} is not UTF-8: {exc}") from exc
    return parse_settings(text)


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port`` into host and port.

    :raises SettingsError: if the address has another form
    """
    host, _, port = address.rpartition(":")
    if not host or not (port.isascii() and port.isdecimal()):
        raise SettingsError(f"{address!r} is not of the form host:port")
    # Compared by length first, since int() refuses thousands of digits.
    if len(port) > len(str(_LAST_PORT)) or int(port) > _LAST_PORT:
        raise SettingsError(f"the port of {address!r} is above {_LAST_PORT}")
    try:
        parse.urlsplit(f"//{address}")
    except ValueError as exc:
        raise SettingsError(f"{address!r}: {exc}") from exc
    return host, int(port)
