"""Calls to the endpoint beside an agent."""

from collections import abc
import typing

import anyio
import msgspec

from ferryledge import leases
from ferryledge import net
from ferryledge import wire

#: Connections for orders; each new one is priced, so few are kept.
_ORDER_CONNECTIONS = 3
#: Seconds after which an order that is still without an answer keeps no other
#: waiting: longer than answers take, shorter than a lost one is waited for.
_ORDER_PERMIT_S = 0.005
_CONNECT_S = 0.2

_HOW = {
    "done": wire.HowEnded.DONE,
    "failed": wire.HowEnded.FAILED,
    "stopped": wire.HowEnded.STOPPED,
    "lapsed": wire.HowEnded.LAPSED,
    "broken": wire.HowEnded.STOPPED,
    "alone": wire.HowEnded.STOPPED,
}
_REASONS = {
    "fence": leases.StartResult.FENCED,
    "old": leases.StartResult.RUN_NUMBER,
    "late": leases.StartResult.LATE,
    "room": leases.StartResult.FULL,
}


class _Answer(msgspec.Struct, frozen=True, rename="pascal"):
    clock_ms: int = 0
    reason: str = ""


class _Lists(msgspec.Struct, frozen=True, rename="pascal"):
    clock_ms: int = 0
    #: Rows of task, run, saved text and percent.
    running: tuple[tuple[typing.Any, ...], ...] = ()
    #: Rows of number, task, run, how it ended and saved text.
    ended: tuple[tuple[typing.Any, ...], ...] = ()
    #: Unix time of the endpoint's start in ms.
    born: int = msgspec.field(default=0, name="born")


def _task_name(key: leases.RunKey) -> str:
    """Return a task's name; the 0 says that the job has no times."""
    return f"{key.job}.0.{key.step}.{key.index}"


def _key(task: str, run: int) -> leases.RunKey:
    job, _, step, index = task.rsplit(".", 3)
    return leases.RunKey(job, int(step), int(index), run)


def _listed(row: tuple[typing.Any, ...]) -> leases.ListedRun:
    task, run, _, percent = row[:4]
    return leases.ListedRun(_key(task, run), percent / 100.0)


def _ended(row: tuple[typing.Any, ...]) -> leases.ListedEnd:
    number, task, run, how = row[:4]
    return leases.ListedEnd(number, _key(task, run), _HOW[how])


def _fault(status: int, answer: _Answer) -> leases.CallFault:
    if status == 421:
        return leases.CallFault.REPLACED
    if status == 409 and answer.reason == "fence":
        return leases.CallFault.FENCED
    return leases.CallFault.UNHEALTHY


def _decode(content: bytes) -> _Answer:
    try:
        return msgspec.json.decode(content, type=_Answer)
    except msgspec.DecodeError:
        return _Answer()  # Error answers may have no body.


class EndpointCalls:
    """Orders and renewals by the endpoint's protocol.

    :param address: ``host:port`` of the endpoint
    :param now: the clock that the agent decides by
    """

    def __init__(
        self, address: str, now: abc.Callable[[], float] = anyio.current_time
    ) -> None:
        self._now = now
        url = f"http://{address}"
        self._orders = net.HttpCaller(
            url, _ORDER_CONNECTIONS, permit_s=_ORDER_PERMIT_S
        )
        self._renewals = net.HttpCaller(url, 1)

    async def close(self) -> None:
        """Close all connections that are not in use."""
        await self._orders.close()
        await self._renewals.close()

    async def start(self, order: leases.StartRun) -> leases.StartAnswered:
        """Order a run, and tell what became of the order."""
        fields = {
            "Task": _task_name(order.key),
            "Run": order.key.run,
            "Spec": order.spec,
            "DeadlineMs": order.lease_until_ms,
            "FencingToken": order.token,
        }
        try:
            response = await self._call(
                "/run-start", fields, order.incarnation, order.answer_s
            )
        except net.ConnectError:
            return _started(order, leases.StartResult.DOWN, 0)
        except net.CallError:
            return _started(order, leases.StartResult.SILENT, 0)
        answer = _decode(response.content)
        result = _start_result(response.status, answer)
        return _started(order, result, answer.clock_ms)

    async def stop(self, order: leases.StopRun) -> leases.StopAnswered:
        """Order a stop, and tell whether it was confirmed."""
        fields = {
            "Task": _task_name(order.key),
            "Run": order.key.run,
            "FencingToken": order.token,
        }
        try:
            response = await self._call(
                "/run-stop", fields, order.incarnation, order.answer_s
            )
        except net.CallError:
            return leases.StopAnswered(order.key, order.incarnation, False)
        confirmed = response.status == 200
        return leases.StopAnswered(order.key, order.incarnation, confirmed)

    async def list_runs(
        self, renewal: leases.Renewal
    ) -> leases.LeaseRenewed | leases.LeaseNotRenewed:
        """Renew the lease beside the call that waits for ends."""
        return await self._hold(renewal, self._orders)

    async def renew(
        self, renewal: leases.Renewal
    ) -> leases.LeaseRenewed | leases.LeaseNotRenewed:
        """Renew the lease; tells what runs and what has ended."""
        return await self._hold(renewal, self._renewals)

    async def _hold(
        self, renewal: leases.Renewal, caller: net.HttpCaller
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
        wait_s = renewal.wait_ms / 1000.0 + renewal.slack_s
        try:
            response = await self._call(
                "/hold", fields, renewal.incarnation, wait_s, caller
            )
        except net.ConnectError:
            return _not_renewed(renewal, leases.CallFault.DOWN)
        except net.LateAnswerError:
            return _not_renewed(renewal, leases.CallFault.SILENT)
        except net.CallError:
            return _not_renewed(renewal, leases.CallFault.BROKEN)
        if response.status != 200:
            answer = _decode(response.content)
            fault = _fault(response.status, answer)
            return _not_renewed(renewal, fault, answer.clock_ms)
        lists = msgspec.json.decode(response.content, type=_Lists)
        return leases.LeaseRenewed(
            sent_at,
            renewal.incarnation,
            lists.clock_ms,
            tuple(_listed(row) for row in lists.running),
            tuple(_ended(row) for row in lists.ended),
            lists.born,
        )

    async def _call(
        self,
        path: str,
        fields: dict[str, object],
        incarnation: str,
        answer_s: float,
        caller: net.HttpCaller | None = None,
    ) -> net.CallResponse:
        headers = []
        if incarnation:
            endpoint_id = leases.endpoint_id_of(incarnation)
            headers.append(("expect-instance", endpoint_id))
        return await (caller or self._orders).call(
            "POST",
            path,
            msgspec.json.encode(fields),
            headers,
            _CONNECT_S,
            answer_s,
        )


def _started(
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
            return _REASONS.get(answer.reason, leases.StartResult.REJECTED)
        case 421:
            return leases.StartResult.REPLACED
        case 429 | 503:
            return leases.StartResult.UNHEALTHY
        case 400:
            return leases.StartResult.REJECTED
    return leases.StartResult.SILENT
