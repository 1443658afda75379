"""Tests that a process accepts connections while it is still importing.

Guards against refused requests at a start: clients retry them only after a
delay.
"""

import contextlib
import pathlib
import socket
import subprocess
import sys

import anyio
import pytest

from ferryledge.hosted import _entry
from ferryledge.hosted import _listening
from ferryledge import platform
from ferryledge.platform import _settings
from ferryledge.platform import standin

_HOST = "127.0.0.1"
#: Number of consecutive ports that a settings file names.
_PORTS = 13
#: Modules whose imports take most of a start.
_HEAVY = ("asyncio", "loguru", "anyio", "uvicorn", "ferryledge.net")


def _free_ports() -> int:
    """Return the first of several consecutive free ports."""
    with contextlib.ExitStack() as stack:
        first = stack.enter_context(socket.socket())
        first.bind((_HOST, 0))
        port: int = first.getsockname()[1]
        for next_port in range(port + 1, port + _PORTS):
            probe = stack.enter_context(socket.socket())
            probe.bind((_HOST, next_port))
        return port


@pytest.fixture
def text() -> str:
    """Return the text of settings whose addresses are all free."""
    while True:
        with contextlib.suppress(OSError, OverflowError):
            port = _free_ports()
            return standin.render_settings("n1", _HOST, _HOST, port, "")


@pytest.fixture
def settings(
    text: str, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> platform.Settings:
    """Return the settings that this process reads from its file."""
    path = tmp_path / "settings.toml"
    path.write_text(text)
    monkeypatch.setenv(_settings.SETTINGS_VARIABLE, str(path))
    return platform.parse_settings(text)


def _is_taken(address: tuple[str, int]) -> bool:
    """Return whether an address accepts connections."""
    with contextlib.suppress(ConnectionRefusedError):
        socket.create_connection(address, 5.0).close()
        return True
    return False


def test_each_role_listens_on_the_addresses_it_serves(
    settings: platform.Settings,
) -> None:
    addresses = settings.listen_addrs
    frontend = platform.split_address(addresses.frontend)
    readiness = platform.split_address(addresses.readiness)
    control = platform.split_address(addresses.control_plane)
    streams = settings.stream_host, settings.stream_port
    entry = _listening.listen(["entry"])
    assert all(map(_is_taken, (frontend, readiness, streams)))
    assert not _is_taken(control)
    agent = _listening.listen(["agent"])
    assert _is_taken(control)
    for listeners in entry, agent:
        for address in frontend, readiness, streams, control:
            listener = listeners.take(address)
            if listener is not None:
                listener.close()


def test_listening_needs_no_slow_imports() -> None:
    code = (
        "import sys\n"
        "from ferryledge.hosted import _listening\n"
        "_listening.listen(['entry'])\n"
        "print(*sys.modules)\n"
    )
    ran = subprocess.run(
        [sys.executable, "-S", "-c", code],
        capture_output=True,
        text=True,
        check=True,
        env={"PYTHONPATH": ":".join(sys.path)},
    )
    imported = set(ran.stdout.split())
    assert [name for name in _HEAVY if name in imported] == []


@pytest.mark.parametrize("command", [[], ["--help"], ["entry", "--help"]])
def test_other_commands_do_not_listen(
    settings: platform.Settings, command: list[str]
) -> None:
    _listening.listen(command)
    frontend = platform.split_address(settings.listen_addrs.frontend)
    assert not _is_taken(frontend)


def test_missing_settings_are_ignored(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.delenv(_settings.SETTINGS_VARIABLE, raising=False)
    listeners = _listening.listen(["entry"])
    assert listeners.take((_HOST, 1)) is None


def test_address_in_use_is_skipped() -> None:
    listeners = _listening.Listeners()
    with socket.socket() as other:
        other.bind((_HOST, 0))
        other.listen()
        listeners.open(other.getsockname())
        assert listeners.take(other.getsockname()) is None


@pytest.mark.anyio
async def test_request_sent_before_the_start_is_answered(
    settings: platform.Settings,
) -> None:
    listeners = _listening.listen(["entry"])
    readiness = platform.split_address(settings.listen_addrs.readiness)
    with socket.create_connection(readiness, 5.0) as client:
        client.sendall(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
        client.setblocking(False)
        entry = _entry.HostedEntry(settings, ("key",), listeners=listeners)
        async with anyio.create_task_group() as group:
            group.start_soon(entry.run, anyio.Event())
            with anyio.fail_after(20.0):
                await anyio.wait_readable(client)
            assert client.recv(100).startswith(b"HTTP/1.1 503")
            group.cancel_scope.cancel()
