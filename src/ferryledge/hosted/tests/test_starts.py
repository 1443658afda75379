"""What a start imports.

Each import is paid at every start, by all processes at once. After a loss of
power, entries with an eighth of a core answered 12 of 201 jobs of the next
four seconds in time; without the cost of starts 86 of 94 were.
"""

import os
import pathlib
import subprocess
import sys

import pytest

from ferryledge.platform import _settings
from ferryledge.platform import standin

_NOBODY = (
    "http.server",
    "opentelemetry",
    "prometheus_client",
    "pydantic",
    "ferryledge.core",
)
_NO_AGENT = (
    "ferryledge.health._tracker",
    "ferryledge.leases._entry",
    "ferryledge.leases._jobs",
    "ferryledge.limits",
    "ferryledge.placement._tables",
    "ferryledge.platform._config",
    "ferryledge.platform._jobs",
)
_NO_ENTRY = (
    "ferryledge.leases._agent",
    "ferryledge.leases._owners",
    "ferryledge.platform._endpoint",
    "ferryledge.platform._heartbeat",
)


@pytest.mark.parametrize(
    ("role", "needless"),
    [("_agent", _NOBODY + _NO_AGENT), ("_entry", _NOBODY + _NO_ENTRY)],
)
def test_a_start_imports_only_what_it_needs(
    role: str, needless: tuple[str, ...]
) -> None:
    imported = _start(role, "print(*sys.modules)")
    assert [name for name in needless if name in imported] == []


def _start(role: str, then: str) -> list[str]:
    """Return the words that a line prints after a role's imports."""
    core = f"leases.Lease{role.removeprefix('_').capitalize()}"
    code = (
        f"import sys, ferryledge.hosted._commands, ferryledge.hosted.{role}\n"
        f"from ferryledge import leases\n{core}\n{then}"
    )
    ran = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
    )
    return ran.stdout.split()


#: Prints the classes that write their own methods when they are imported.
_PRINT_DATA_CLASSES = """
for module in list(sys.modules.values()):
    for found in list(vars(module).values()):
        if "__dataclass_fields__" in getattr(found, "__dict__", {}):
            print(f"{found.__module__}.{found.__qualname__}")
"""


@pytest.mark.parametrize(("role", "most"), [("_agent", 4), ("_entry", 30)])
def test_few_classes_write_their_own_methods(role: str, most: int) -> None:
    """Each takes as long as the whole import of a small module."""
    found = set(_start(role, _PRINT_DATA_CLASSES))
    own = [name for name in found if name.startswith("ferryledge.")]
    assert len(own) <= most, sorted(own)


#: Runs a command up to its event loop; prints how often collections ran
#: before and by then, whether they may run, whether some objects are left out,
#: and how many handlers for the log were made.
_RUN_COMMAND = """
import gc, sys
import anyio
from ferryledge.hosted import __main__

def count():
    return sum(one["collections"] for one in gc.get_stats())

def run(*args, **options):
    handlers = sys.modules["loguru"].logger.add(sys.stderr)
    print(count(), gc.isenabled(), gc.get_freeze_count() > 0, handlers)

anyio.run = run
print(count())
__main__.main()
"""


@pytest.mark.parametrize("role", ["entry", "agent"])
def test_a_start_collects_nothing_and_makes_one_handler(
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
    lines = [one for one in ran.stdout.splitlines() if one[0] != "{"]
    assert lines[1] == f"{lines[0]} True True 1"
