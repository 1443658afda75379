"""A client of the endpoint that an agent manages."""

from collections import abc
import typing

import anyio
import msgspec

from ferryledge import decoding
from ferryledge import leases
from ferryledge import net
from ferryledge import wire

#: Connections for orders; few, since each new connection has a cost.
_ORDER_CONNECTIONS = 3
#: Seconds after which an unanswered order no longer counts against the limit
#: of connections. More than the usual answer time and less than the timeout,
#: so that a lost order doesn't block others.
_ORDER_PERMIT_S = 0.005
_CONNECT_S = 0.2

_HOW_ENDED = {
    "done": wire.RunOutcome.DONE,
    "failed": wire.RunOutcome.FAILED,
    "stopped": wire.RunOutcome.STOPPED,
    "lapsed": wire.RunOutcome.LAPSED,
    # Another run of its gang ended.
    "broken": wire.RunOutcome.STOPPED,
    # It waited too long for the other runs of its gang.
    "alone": wire.RunOutcome.STOPPED,
}
_START_RESULTS = {
    "fence": leases.StartResult.FENCED,
    "old": leases.StartResult.RUN_NUMBER,
    "late": leases.StartResult.LATE,
    "room": leases.StartResult.FULL,
}


#: Values of a row that are used; later ones are ignored.
_ROW_FIELDS = 4
_NUMBER_TYPES = (int, float)
_MAX_NUMBER = decoding.MAX_INTEGER


class _Answer(msgspec.Struct, frozen=True, rename="pascal"):
    clock_ms: decoding.Natural = 0
    reason: str = ""


class _RunLists(msgspec.Struct, frozen=True, rename="pascal"):
    clock_ms: decoding.Natural = 0
    #: Rows of task, run number, saved text and progress in percent.
    running: tuple[typing.Any, ...] = ()
    #: Rows of sequence number, task, run number, how the run ended and saved
    #: text.
    ended: tuple[typing.Any, ...] = ()
    #: Unix time of the endpoint's start in ms; 0 if it isn't reported.
    born: decoding.Natural = msgspec.field(default=0, name="born")


def _task_name(key: leases.RunKey) -> str:
    """Return the platform's name of a task.

    The 0 marks a job that isn't repeated.
    """
    return f"{key.job}.0.{key.step}.{key.index}"


class _RowError(Exception):
    """A row of a list can't be read.

    :param message: the reason
    :param task: the task that the row names, if that can be read
    """

    def __init__(
        self, message: str, task: leases.TaskKey | None = None
    ) -> None:
        super().__init__(message)
        #: The task that the row names, if that can be read.
        self.task = task


def _check_row(row: typing.Any) -> None:
    if type(row) is not list or len(row) < _ROW_FIELDS:
        raise _RowError(f"expected a list of {_ROW_FIELDS} or more values")


def _parse_run_key(task: typing.Any, run: typing.Any) -> leases.RunKey:
    try:
        job, _, step_text, index_text = task.rsplit(".", 3)
        step = int(step_text)
        index = int(index_text)
    except (AttributeError, ValueError) as exc:
        raise _RowError("the task has no name of this system") from exc
    if not 0 <= step <= _MAX_NUMBER or not 0 <= index <= _MAX_NUMBER:
        raise _RowError("the numbers in the task's name are out of range")
    if type(run) is not int or not 0 <= run <= _MAX_NUMBER:
        raise _RowError("the run has no valid number", (job, step, index))
    return leases.RunKey(job, step, index, run)


def _parse_running(row: typing.Any) -> leases.ListedRun:
    _check_row(row)
    key = _parse_run_key(row[0], row[1])
    percent = row[3]
    if type(percent) not in _NUMBER_TYPES or not 0 <= percent <= 100:
        return leases.ListedRun(key, None)
    return leases.ListedRun(key, percent / 100.0)


def _parse_end(row: typing.Any) -> leases.ListedEnd:
    _check_row(row)
    key = _parse_run_key(row[1], row[2])
    how = _HOW_ENDED.get(row[3]) if type(row[3]) is str else None
    if how is None:
        # The run is over, but not known to be done.
        how = wire.RunOutcome.STOPPED
    number = row[0] if decoding.is_natural(row[0]) else 0
    return leases.ListedEnd(number, key, how)


RowT = typing.TypeVar("RowT", leases.ListedRun, leases.ListedEnd)


class _RowReader:
    """Reads the rows of an answer, and passes over those it can't read.

    :param note_unreadable: called with the reason for each of these
    """

    def __init__(self, note_unreadable: abc.Callable[[str], None]) -> None:
        self._note_unreadable = note_unreadable
        self._unclear_tasks: set[leases.TaskKey] = set()

    @property
    def unclear_tasks(self) -> frozenset[leases.TaskKey]:
        """Tasks that are named by rows without a readable run."""
        return frozenset(self._unclear_tasks)

    def read(
        self,
        rows: tuple[typing.Any, ...],
        parse: abc.Callable[[typing.Any], RowT],
    ) -> tuple[RowT, ...]:
        """Return the rows that can be read."""
        parsed = []
        for row in rows:
            try:
                parsed.append(parse(row))
            except _RowError as exc:
                self._note_unreadable(str(exc))
                if exc.task is not None:
                    self._unclear_tasks.add(exc.task)
        return tuple(parsed)


def _ignore_unreadable(reason: str) -> None:
    """Ignore what can't be read."""


def _call_fault(status: int, answer: _Answer) -> leases.CallFault:
    if status == 421:
        return leases.CallFault.REPLACED
    if status == 409 and answer.reason == "fence":
        return leases.CallFault.FENCED
    return leases.CallFault.UNHEALTHY


def _decode(content: bytes) -> _Answer:
    try:
        return decoding.decode_json(content, _Answer)
    except decoding.DecodingError:
        return _Answer()  # Error responses may have no body.


class EndpointCalls:
    """Starts, stops and lists runs, and renews the lease, over HTTP.

    :param address: ``host:port`` of the endpoint
    :param now: the agent's monotonic clock, in seconds
    :param note_unreadable: called with the reason if an answer, or a row of
        it, can't be read; defaults to ignoring it
    """

    def __init__(
        self,
        address: str,
        now: abc.Callable[[], float] = anyio.current_time,
        note_unreadable: abc.Callable[[str], None] = _ignore_unreadable,
    ) -> None:
        self._now = now
        self._note_unreadable = note_unreadable
        url = f"http://{address}"
        self._order_caller = net.HttpClient(
            url, _ORDER_CONNECTIONS, permit_s=_ORDER_PERMIT_S
        )
        self._renewal_caller = net.HttpClient(url, 1)

    async def close(self) -> None:
        """Close all connections that are not in use."""
        await self._order_caller.close()
        await self._renewal_caller.close()

    async def start(self, order: leases.StartRun) -> leases.StartAnswered:
        """Start a run and return the result."""
        fields = {
            "Task": _task_name(order.key),
            "Run": order.key.run,
            "Spec": order.spec,
            "DeadlineMs": order.lease_until_ms,
            "FencingToken": order.token,
        }
        try:
            response = await self._call(
                "/run-start", fields, order.incarnation, order.answer_timeout_s
            )
        except net.ConnectError:
            return _start_answered(order, leases.StartResult.DOWN, 0)
        except net.CallError:
            return _start_answered(order, leases.StartResult.SILENT, 0)
        answer = _decode(response.content)
        result = _start_result(response.status, answer)
        return _start_answered(order, result, answer.clock_ms)

    async def stop(self, order: leases.StopRun) -> leases.StopAnswered:
        """Stop a run and return whether the endpoint confirmed it."""
        fields = {
            "Task": _task_name(order.key),
            "Run": order.key.run,
            "FencingToken": order.token,
        }
        try:
            response = await self._call(
                "/run-stop", fields, order.incarnation, order.answer_timeout_s
            )
        except net.CallError:
            return leases.StopAnswered(order.key, order.incarnation, False)
        confirmed = response.status == 200
        return leases.StopAnswered(order.key, order.incarnation, confirmed)

    async def list_runs(
        self, renewal: leases.Renewal
    ) -> leases.LeaseRenewed | leases.LeaseNotRenewed:
        """List the endpoint's runs while :meth:`renew` may be waiting.

        It uses the connections for orders, since a renewal occupies its own
        connection until it is answered.
        """
        return await self._send_renewal(renewal, self._order_caller)

    async def renew(
        self, renewal: leases.Renewal
    ) -> leases.LeaseRenewed | leases.LeaseNotRenewed:
        """Renew the lease and list the running and ended runs."""
        return await self._send_renewal(renewal, self._renewal_caller)

    async def _send_renewal(
        self, renewal: leases.Renewal, caller: net.HttpClient
    ) -> leases.LeaseRenewed | leases.LeaseNotRenewed:
        fields: dict[str, object] = {
            "FencingToken": renewal.token,
            "AckedUpto": renewal.acknowledged,
        }
        if renewal.lease_until_ms:
            fields["DeadlineMs"] = renewal.lease_until_ms
        if renewal.wait_ms:
            fields["WaitMs"] = renewal.wait_ms
        sent_at = self._now()
        wait_s = renewal.wait_ms / 1000.0 + renewal.timeout_slack_s
        try:
            response = await self._call(
                "/hold", fields, renewal.incarnation, wait_s, caller
            )
        except net.ConnectError:
            return _not_renewed(renewal, leases.CallFault.DOWN)
        except net.ResponseTimeoutError:
            return _not_renewed(renewal, leases.CallFault.SILENT)
        except net.CallError:
            return _not_renewed(renewal, leases.CallFault.BROKEN)
        if response.status != 200:
            answer = _decode(response.content)
            fault = _call_fault(response.status, answer)
            return _not_renewed(renewal, fault, answer.clock_ms)
        try:
            lists = decoding.decode_json(response.content, _RunLists)
        except decoding.DecodingError as exc:
            # The endpoint may have renewed the lease, as without an answer.
            self._note_unreadable(str(exc))
            return _not_renewed(renewal, leases.CallFault.SILENT)
        reader = _RowReader(self._note_unreadable)
        running = reader.read(lists.running, _parse_running)
        ended = reader.read(lists.ended, _parse_end)
        return leases.LeaseRenewed(
            sent_at,
            renewal.incarnation,
            lists.clock_ms,
            running,
            ended,
            lists.born,
            reader.unclear_tasks,
        )

    async def _call(
        self,
        path: str,
        fields: dict[str, object],
        incarnation: str,
        answer_timeout_s: float,
        caller: net.HttpClient | None = None,
    ) -> net.CallResponse:
        headers = []
        if incarnation:
            endpoint_id = leases.endpoint_id_of(incarnation)
            headers.append(("expect-instance", endpoint_id))
        return await (caller or self._order_caller).call(
            "POST",
            path,
            msgspec.json.encode(fields),
            headers,
            _CONNECT_S,
            answer_timeout_s,
        )


def _start_answered(
    order: leases.StartRun, result: leases.StartResult, clock_ms: int
) -> leases.StartAnswered:
    return leases.StartAnswered(order.key, result, order.incarnation, clock_ms)


def _not_renewed(
    renewal: leases.Renewal, fault: leases.CallFault, clock_ms: int = 0
) -> leases.LeaseNotRenewed:
    return leases.LeaseNotRenewed(fault, renewal.incarnation, clock_ms)


def _start_result(status: int, answer: _Answer) -> leases.StartResult:
    match status:
        case 200:
            return leases.StartResult.STARTED
        case 409:
            return _START_RESULTS.get(
                answer.reason, leases.StartResult.REJECTED
            )
        case 421:
            return leases.StartResult.REPLACED
        case 429 | 503:
            return leases.StartResult.UNHEALTHY
        case 400:
            return leases.StartResult.REJECTED
    # Unknown status: as after a time-out, the run may have started.
    return leases.StartResult.SILENT
