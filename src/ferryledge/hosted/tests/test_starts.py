"""What a start imports.

Each import is paid at every start, by all processes at once. After a loss of
power, entries with an eighth of a core answered 12 of 201 jobs of the next
four seconds in time; without the cost of starts 86 of 94 were.
"""

import subprocess
import sys

import pytest

_NOBODY = (
    "http.server",
    "opentelemetry",
    "prometheus_client",
    "pydantic",
    "ferryledge.core",
)
_NO_AGENT = (
    "ferryledge.health",
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
    code = (
        f"import sys, ferryledge.hosted.__main__, ferryledge.hosted.{role}\n"
        "print(*sorted(sys.modules))"
    )
    ran = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
    )
    imported = set(ran.stdout.split())
    assert [name for name in needless if name in imported] == []
