"""Odd values that are sent to the real programs.

Guards against values from outside that end a process.
"""

import asyncio
from collections import abc
import contextlib
import json
import logging
import pathlib

from ferryledge.decoding.tests import odd_values
from ferryledge import net
from ferryledge.platform import standin as platform_standin
from ferryledge import soak
from ferryledge.soak import _deployment
from ferryledge.soak import _workload

_QUEUE = "odd"
_DEADLINE_S = 3.0
#: Time limit for the programs to serve jobs, in seconds.
_SERVED_WITHIN_S = 60.0
_ENTRIES_TOPIC = "keyed.ferryledge-entries"
_ENDPOINTS_TOPIC = "keyed.ferryledge-endpoints"
_DEEP = odd_values.DEEP["nested 200000 levels"]
_ODD_STEPS = [
    {"Count": 1, "Cpu": 2**64},
    {"Count": 1, "MemMb": 2**64},
    {"Count": 1, "Gpu": 10**30},
    {"Count": 1, "Cpu": 1, "AntiAffinity": 2**64},
    {"Count": 1, "Cpu": 1, "EstimateMs": -187.5},
]
_HEARTBEAT = {
    "Backend": "desk", "Address": "a:1", "Zone": "north", "Version": "v1",
    "Slots": 8, "State": "ready", "ColdMs": 0, "Labels": [],
    "Capacity": {"Cpu": 8000, "MemMb": 16000, "Gpu": 0},
    "ClockMs": 1, "Seq": 1, "born": 1,
}  # fmt: skip


class _Lab:
    """Two entries and two agents as processes, and the stand-ins.

    :param folder: where settings and logs go
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._workload = _workload.Workload()
        self._jobs = 0
        self.deployment = _deployment.Deployment(
            soak.make_plan(1, entries=2, agents=2),
            folder,
            self._workload,
            lambda what, key, endpoint: None,
            lambda what, key, endpoint: None,
        )
        config = platform_standin.render_config(1, [_QUEUE])
        self.deployment.store.put("keyed.op", "config", config)

    @contextlib.asynccontextmanager
    async def run(self) -> abc.AsyncIterator[None]:
        """Run all programs and stand-ins; the programs are kept running."""
        deployment = self.deployment
        serve_store = net.serve_until_cancelled(
            net.asgi_app(deployment.store.handle),
            _deployment.STORE_HOST,
            _deployment.STORE_PORT,
        )
        try:
            for proxy in deployment.proxies:
                await proxy.start()
            async with asyncio.TaskGroup() as group:
                running = [serve_store]
                running += [each.run() for each in deployment.endpoints]
                for program in deployment.programs:
                    program.start()
                    running.append(program.keep())
                tasks = [group.create_task(each) for each in running]
                yield
                for task in tasks:
                    task.cancel()
        finally:
            for program in deployment.programs:
                program.end()
            for proxy in deployment.proxies:
                await proxy.close()

    def _next_job(self) -> str:
        self._jobs += 1
        return f"{self._jobs:016x}"

    async def submit_body(self, number: int, body: bytes) -> int:
        """Submit a job to an entry and return the status."""
        response = await _entry(number).call(
            "POST",
            f"/{_QUEUE}/{self._next_job()}",
            body,
            [("host", "desk.example"), ("deadline-ms", "3000")],
            answer_s=2.0 * _DEADLINE_S,
        )
        return response.status

    async def _is_served(self, number: int) -> bool:
        """Return whether an entry completes a plain job."""
        job = self._next_job()
        spec = self._workload.add(job, 500, 0.02)
        answer = await platform_standin.submit(
            _entry(number), _QUEUE, job, spec, 1, 500, 20, _DEADLINE_S
        )
        return answer.state is platform_standin.ClientState.SUCCEEDED

    async def wait_until_served(self) -> None:
        """Wait until each entry completes a plain job."""
        async with asyncio.timeout(_SERVED_WITHIN_S):
            for number in range(len(self.deployment.entries)):
                while not await self._is_served(number):
                    await asyncio.sleep(0.1)

    def put_odd_records(self) -> None:
        """Write odd records among those of the entries and the agents."""
        store = self.deployment.store
        store.put(_ENTRIES_TOPIC, "a", _DEEP.encode())
        element = f'["odd","10.0.0.1",1,0,{_DEEP}]'
        store.put(_ENTRIES_TOPIC, "odd", element.encode())
        field = f'{{"odd":{_DEEP}}}'
        store.put(_ENDPOINTS_TOPIC, "agent-0", field.encode())

    def check_nothing_ended(self) -> None:
        """Check that no program was started twice."""
        lives = {each.name: each.lives for each in self.deployment.programs}
        assert set(lives.values()) == {1}, lives


def _entry(number: int) -> net.HttpClient:
    host = _deployment.entry_host(number)
    return net.HttpClient(f"http://{host}:{_deployment.FRONTEND_PORT}", 1)


async def _send_heartbeat(endpoint_id: str, body: bytes) -> int:
    response = await _deployment.agent_client(0).call(
        "POST", f"/instances/{endpoint_id}/heartbeat", body, answer_s=5.0
    )
    return response.status


def test_odd_values_end_no_process(tmp_path: pathlib.Path) -> None:
    logging.getLogger("uvicorn.error").disabled = True
    lab = _Lab(tmp_path)

    async def main() -> None:
        lab.put_odd_records()
        async with lab.run():
            await lab.wait_until_served()
            for number, step in enumerate(_ODD_STEPS):
                body = {"Spec": "x", "Steps": [step], "BestEffort": True}
                encoded = json.dumps(body).encode()
                status = await lab.submit_body(number % 2, encoded)
                assert status in (400, 503, 504)
            nested = f'{{"Spec":"x","Steps":[],"Odd":{_DEEP}}}'
            assert await lab.submit_body(0, nested.encode()) == 400
            await _send_odd_heartbeats()
            lab.put_odd_records()
            await lab.wait_until_served()
            lab.check_nothing_ended()

    asyncio.run(main())


async def _send_odd_heartbeats() -> None:
    plain = json.dumps(_HEARTBEAT)
    large = plain.replace("16000", str(2**64))
    nested = plain[:-1] + f',"Odd":{_DEEP}}}'
    assert await _send_heartbeat("i-odd", large.encode()) == 400
    assert await _send_heartbeat("i-odd", nested.encode()) == 400
    assert await _send_heartbeat("i-%E2%82%AC", plain.encode()) == 400
    assert await _send_heartbeat("i-%0d%0aodd", plain.encode()) == 400
