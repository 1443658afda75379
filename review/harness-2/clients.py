"""Clients of the order desk: one job each, sent again after silence."""

import asyncio
import contextlib
import dataclasses
import json
import os
import socket
import struct
import time

import programs
import record as record_module
import web

#: RetransmitMs of the settings.
REPEAT_S = 1.3


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """One job without need to be kept."""

    id: str
    queue: str
    tasks: int
    work_s: float
    cpu: int
    deadline_s: float

    def body(self) -> dict:
        """Return what the client submits."""
        step = {
            "Count": self.tasks,
            "Cpu": self.cpu,
            "MemMb": 64,
            "EstimateMs": int(self.work_s * 1000),
        }
        spec = json.dumps({"work_s": self.work_s})
        return {"Spec": spec, "Steps": [step], "BestEffort": True}


class Client:
    """Submits one job, to one entry after the other.

    :param job: the job
    :param entries: name and address of each entry to try, in order
    :param record: hears of attempts and answers
    """

    def __init__(
        self,
        job: Job,
        entries: list[tuple[str, tuple[str, int]]],
        record: record_module.Record,
    ) -> None:
        self._job = job
        self._entries = entries
        self._record = record
        #: Set when the connection of the current attempt counts as dead.
        self.is_dead = asyncio.Event()
        self.status: int | None = None

    async def run(self) -> None:
        """Submit the job until it is answered, or nobody waits any more."""
        began = time.monotonic()
        for name, address in self._entries:
            left_s = self._job.deadline_s - (time.monotonic() - began)
            if left_s <= 0.0:
                return
            self.is_dead.clear()
            response = await self._attempt(name, address, left_s)
            if response is not None and response.status not in (502, 504):
                self.status = response.status
                return
            await asyncio.sleep(REPEAT_S)

    async def cancel(self, address: tuple[str, int]) -> None:
        """Cancel the job at an entry."""
        reader, writer = await asyncio.open_connection(*address)
        path = f"/{self._job.queue}/{self._job.id}"
        headers = {"Host": "desk.example"}
        writer.write(web.encode_request("DELETE", path, headers))
        response = await web.read_response(reader)
        writer.close()
        self._record.cancelled(self._job.id, response.status)

    async def _attempt(
        self, name: str, address: tuple[str, int], left_s: float
    ) -> web.Response | None:
        job = self._job
        self._record.note("sent", f"POST {job.id} to {name}, waits {left_s:.3f} s")
        try:
            reader, writer = await asyncio.open_connection(*address)
        except OSError as exc:
            self._record.note("answered", f"{job.id} by {name}: {exc}")
            return None
        headers = {
            "Host": "desk.example",
            "Deadline-Ms": str(int(left_s * 1000)),
        }
        path = f"/{job.queue}/{job.id}"
        writer.write(web.encode_request("POST", path, headers, job.body()))
        read = asyncio.create_task(web.read_response(reader))
        dead = asyncio.create_task(self.is_dead.wait())
        await asyncio.wait(
            (read, dead),
            timeout=left_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        response = None
        if read.done() and read.exception() is None:
            response = read.result()
            text = f"{response.status} {response.body.decode()[:120]}"
        elif read.done():
            text = f"broken connection: {read.exception()!r}"
        elif dead.done():
            text = "connection found dead by its keep-alive probes"
            if os.environ.get("CLIENT_END") != "fin":
                _reset(writer)
        else:
            text = "no answer in time"
        self._record.note("answered", f"{job.id} by {name}: {text}")
        for task in (read, dead):
            task.cancel()
            with contextlib.suppress(
                asyncio.CancelledError, OSError, asyncio.IncompleteReadError
            ):
                await task
        writer.close()
        return response


def _reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, as the kernel does after failed probes."""
    sock = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def frontend(host: str) -> tuple[str, int]:
    """Return the address at which an entry takes jobs."""
    return host, programs.FRONTEND_PORT
