"""Tests the cost of starting a process.

Guards against needless imports and other work that lengthen the start, during
which jobs are answered late.
"""

import os
import pathlib
import subprocess
import sys

import pytest

from ferryledge.platform import _settings
from ferryledge.platform import standin

_UNUSED_BY_ALL = (
    "http.server",
    "opentelemetry",
    "prometheus_client",
    "pydantic",
    "ferryledge.core",
)
_UNUSED_BY_AGENT = (
    "ferryledge.health._tracker",
    "ferryledge.leases._entry",
    "ferryledge.leases._jobs",
    "ferryledge.limits",
    "ferryledge.placement._tables",
    "ferryledge.platform._config",
    "ferryledge.platform._jobs",
)
_UNUSED_BY_ENTRY = (
    "ferryledge.leases._agent",
    "ferryledge.leases._owners",
    "ferryledge.platform._endpoint",
    "ferryledge.platform._heartbeat",
)


@pytest.mark.parametrize(
    ("role", "unused"),
    [
        ("_agent", _UNUSED_BY_ALL + _UNUSED_BY_AGENT),
        ("_entry", _UNUSED_BY_ALL + _UNUSED_BY_ENTRY),
    ],
)
def test_start_imports_no_unused_modules(
    role: str, unused: tuple[str, ...]
) -> None:
    imported = _start(role, "print(*sys.modules)")
    assert [name for name in unused if name in imported] == []


def _start(role: str, statements: str) -> list[str]:
    """Import a role's modules, run statements and return their output."""
    core = f"leases.Lease{role.removeprefix('_').capitalize()}"
    code = (
        f"import sys, ferryledge.hosted._commands, ferryledge.hosted.{role}\n"
        f"from ferryledge import leases\n{core}\n{statements}"
    )
    ran = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
    )
    return ran.stdout.split()


#: Prints the data classes, whose methods are generated at the import.
_PRINT_DATA_CLASSES = """
for module in list(sys.modules.values()):
    for value in list(vars(module).values()):
        if "__dataclass_fields__" in getattr(value, "__dict__", {}):
            print(f"{value.__module__}.{value.__qualname__}")
"""


@pytest.mark.parametrize(("role", "limit"), [("_agent", 4), ("_entry", 30)])
def test_start_creates_few_data_classes(role: str, limit: int) -> None:
    """Each data class takes as long as the import of a small module."""
    names = set(_start(role, _PRINT_DATA_CLASSES))
    own = [name for name in names if name.startswith("ferryledge.")]
    assert len(own) <= limit, sorted(own)


#: Runs a command up to its event loop. Prints the number of collections before
#: the start; then that number at the event loop, whether collections are
#: enabled, whether objects are frozen, and the number of log handlers.
_RUN_COMMAND = """
import gc, sys
import anyio
from ferryledge.hosted import __main__

def count():
    return sum(stats["collections"] for stats in gc.get_stats())

def run(*args, **options):
    handlers = sys.modules["loguru"].logger.add(sys.stderr)
    print(count(), gc.isenabled(), gc.get_freeze_count() > 0, handlers)

anyio.run = run
print(count())
__main__.main()
"""


@pytest.mark.parametrize("role", ["entry", "agent"])
def test_start_runs_no_collection_and_adds_one_log_handler(
    role: str, tmp_path: pathlib.Path
) -> None:
    settings = tmp_path / "settings.toml"
    settings.write_text(
        standin.render_settings("n1", "10.0.0.1", "", 7720, "10.0.0.9:80")
    )
    environment = {
        **os.environ,
        _settings.SETTINGS_VARIABLE: str(settings),
        "FERRYLEDGE_PEER_KEYS": "key",
    }
    ran = subprocess.run(
        [sys.executable, "-c", _RUN_COMMAND, role],
        capture_output=True,
        text=True,
        check=True,
        env=environment,
    )
    lines = [line for line in ran.stdout.splitlines() if line[0] != "{"]
    assert lines[1] == f"{lines[0]} True True 1"
