"""Endpoints in virtual time."""

import dataclasses

from ferryledge import core
from ferryledge.harness import _clock
from ferryledge.harness import _journal
from ferryledge.harness import _nodes

#: Seconds after which a failing task fails.
_FAIL_S = 0.002


@dataclasses.dataclass(frozen=True, slots=True)
class TaskSpec:
    """How one task behaves."""

    #: Seconds that it takes on a normal endpoint.
    run_s: float
    ok: bool = True


@dataclasses.dataclass(slots=True)
class EndpointState:
    """How an endpoint behaves."""

    slowdown: float = 1.0
    fail_all: bool = False
    hang_all: bool = False
    #: Refuses connections, so that nothing starts.
    unreachable: bool = False
    running: dict[tuple[str, int], int] = dataclasses.field(
        default_factory=dict
    )


class Endpoints:
    """Runs tasks and records their starts.

    :param clock: virtual time
    :param journal: where starts are recorded
    """

    def __init__(self, clock: _clock.Clock, journal: _journal.Journal) -> None:
        self._clock = clock
        self._journal = journal
        self._calls = 0
        self.specs: dict[bytes, TaskSpec] = {}
        self.states: dict[str, EndpointState] = {}

    def run(self, node: _nodes.Node, task: core.RunTask) -> None:
        """Start a task for an agent."""
        state = self.states[node.name]
        if state.unreachable:
            self._end(node, task, False, b"refused", 0.0, started=False)
            return
        start = _journal.Start(
            self._clock.now,
            node.name,
            task.submission,
            task.payload,
            node.life,
        )
        self._journal.note(start)
        self._calls += 1
        state.running[task.owner, task.seq] = self._calls
        if state.hang_all:
            self._end_later(node, task, task.timeout_s, False, b"timeout")
            return
        spec = self.specs.get(task.payload, TaskSpec(0.1))
        if state.fail_all or not spec.ok:
            self._end_later(node, task, _FAIL_S, False, b"failed")
            return
        run_s = spec.run_s * state.slowdown
        if run_s > task.timeout_s:
            self._end_later(node, task, task.timeout_s, False, b"timeout")
            return
        self._end_later(node, task, run_s, True, task.payload)

    def stop(self, node: _nodes.Node, task: core.StopTask) -> None:
        """End a task's call early."""
        state = self.states[node.name]
        if state.running.pop((task.owner, task.seq), None) is None:
            return
        node.post(core.TaskEnded(task.owner, task.seq, False, b"stop", 0.0))

    def lose(self, name: str) -> None:
        """Forget the calls of an agent that died."""
        self.states[name].running.clear()

    def _end_later(
        self,
        node: _nodes.Node,
        task: core.RunTask,
        run_s: float,
        ok: bool,
        body: bytes,
    ) -> None:
        state = self.states[node.name]
        key = (task.owner, task.seq)
        call = state.running[key]

        def end() -> None:
            if state.running.get(key) != call:
                return
            del state.running[key]
            self._end(node, task, ok, body, run_s)

        self._clock.after(run_s, end)

    def _end(
        self,
        node: _nodes.Node,
        task: core.RunTask,
        ok: bool,
        body: bytes,
        run_s: float,
        started: bool = True,
    ) -> None:
        node.post(
            core.TaskEnded(task.owner, task.seq, ok, body, run_s, started)
        )
