"""What each fault that strikes many things at once strikes."""

import asyncio
import pathlib
import signal
import typing

import pytest

from ferryledge.soak import _deployment
from ferryledge.soak import _judge
from ferryledge.soak import _plan
from ferryledge.soak import _processes
from ferryledge.soak import _wide_strikes
from ferryledge.soak import _workload

_KIND = _plan.WideKind
_ENTRIES, _AGENTS = 3, 6


@pytest.fixture
def struck(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> list[tuple[str, typing.Any]]:
    """What is done to which process."""
    done: list[tuple[str, typing.Any]] = []

    def send(program: _processes.Program, number: signal.Signals) -> None:
        done.append((number.name, program.name))

    async def restart(program: _processes.Program, down_s: float) -> None:
        done.append(("restart", program.name))

    monkeypatch.setattr(_processes.Program, "signal", send)
    monkeypatch.setattr(_processes.Program, "restart", restart)
    return done


def _strike(
    kind: _plan.WideKind, folder: pathlib.Path, for_s: float = 0.0
) -> _deployment.Deployment:
    plan = _plan.Plan(1, 20.0, _ENTRIES, _AGENTS, ())
    judge = _judge.Judge()
    deployment = _deployment.Deployment(
        plan, folder, _workload.Workload(), judge.watch, judge.notice
    )
    strikes = _wide_strikes.WideStrikes(deployment)
    fault = _plan.Fault(1.0, kind, 7, for_s)
    asyncio.run(strikes.strike(fault))
    return deployment


@pytest.mark.parametrize(
    ("kind", "count"),
    [(_KIND.KILL_AGENTS, 6), (_KIND.KILL_HALF, 4)],
)
def test_processes_are_killed_at_once(
    kind: _plan.WideKind,
    count: int,
    tmp_path: pathlib.Path,
    struck: list[tuple[str, typing.Any]],
) -> None:
    _strike(kind, tmp_path)
    assert [what for what, _ in struck] == ["SIGKILL"] * count
    assert len(set(struck)) == count


def test_same_fault_kills_the_same_half(
    tmp_path: pathlib.Path, struck: list[tuple[str, typing.Any]]
) -> None:
    _strike(_KIND.KILL_HALF, tmp_path)
    first = list(struck)
    assert first
    struck.clear()
    _strike(_KIND.KILL_HALF, tmp_path)
    assert struck == first


def test_stutter_stops_and_continues_half_of_the_processes(
    tmp_path: pathlib.Path, struck: list[tuple[str, typing.Any]]
) -> None:
    _strike(_KIND.STUTTER, tmp_path, for_s=0.01)
    stopped = sorted(name for what, name in struck if what == "SIGSTOP")
    assert len(stopped) == 4
    assert stopped == sorted(
        name for what, name in struck if what == "SIGCONT"
    )


def test_agent_that_restarts_quickly_is_cut_off_meanwhile(
    tmp_path: pathlib.Path,
    struck: list[tuple[str, typing.Any]],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        "ferryledge.soak._proxy.Proxy.cut_off",
        lambda proxy, name: struck.append(("cut", name)),
    )
    monkeypatch.setattr(
        "ferryledge.soak._proxy.Proxy.restore",
        lambda proxy, name: struck.append(("restore", name)),
    )
    _strike(_KIND.QUICK_RESTART, tmp_path)
    assert [what for what, _ in struck] == ["cut", "restart", "restore"]
    assert len({name for _, name in struck}) == 1


@pytest.mark.parametrize(
    ("kind", "cut"),
    [(_KIND.STOPS_IGNORED, False), (_KIND.STOPS_IGNORED_CUT, True)],
)
def test_half_of_the_endpoints_ignore_stops_for_a_while(
    kind: _plan.WideKind,
    cut: bool,
    tmp_path: pathlib.Path,
    struck: list[tuple[str, typing.Any]],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        "ferryledge.soak._proxy.Proxy.cut_off",
        lambda proxy, name: struck.append(("cut", name)),
    )
    monkeypatch.setattr(
        "ferryledge.platform.standin.EndpointServer.ignores_stops",
        property(
            lambda server: False,
            lambda server, ignores: struck.append(("ignores", ignores)),
        ),
        raising=False,
    )
    deployment = _strike(kind, tmp_path)
    changes = [value for what, value in struck if what == "ignores"]
    # At first all endpoints are made to heed stops.
    assert changes == [False] * _AGENTS + [True] * 3 + [False] * 3
    cut_off = {name for what, name in struck if what == "cut"}
    assert len(cut_off) == (3 if cut else 0)
    assert cut_off <= {agent.name for agent in deployment.agents}


@pytest.mark.parametrize(
    ("kind", "proxy_calls", "endpoint_calls"),
    [
        (_KIND.RESET_ALL, ["reset"] * _ENTRIES, []),
        (_KIND.RESET_HALF, ["reset_some"] * _ENTRIES, []),
        (_KIND.SILENCE_ALL, ["silence"] * _ENTRIES, ["silence"] * _AGENTS),
    ],
)
def test_streams_break_or_fall_silent(
    kind: _plan.WideKind,
    proxy_calls: list[str],
    endpoint_calls: list[str],
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    called: dict[str, list[str]] = {"proxy": [], "endpoint": []}
    for name in ("reset", "reset_some", "silence"):
        monkeypatch.setattr(
            f"ferryledge.soak._proxy.Proxy.{name}",
            lambda proxy, *args, name=name: called["proxy"].append(name),
        )
    monkeypatch.setattr(
        "ferryledge.platform.standin.EndpointServer.silence",
        lambda server: called["endpoint"].append("silence"),
    )
    _strike(kind, tmp_path)
    assert called == {"proxy": proxy_calls, "endpoint": endpoint_calls}
