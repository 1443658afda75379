"""A small deployment: a few entries, eleven agents, and all around them."""

import asyncio
from collections import abc
import os
import pathlib
import random
import tempfile

import clients
import executor
import link
import programs
import record as record_module
import store

ZONES = ("hall-a", "hall-b", "hall-c")
AGENTS = 11
#: Entries of the small sites; the grown ones have more.
ENTRIES = int(os.environ.get("ENTRIES", "3"))
DEADLINE_S = 8.0
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
#: Seconds for one play at the most.
_LONGEST_S = 112.0


class NotRunError(Exception):
    """The case could not run."""


class Deployment:
    """The programs and the stand-ins, on addresses of their own.

    The entry that is last in the order of names stands behind ``link``: the
    others dial it, so that all its connections pass there.

    :param record: hears of everything
    :param folder: temporary folder for settings and logs
    """

    def __init__(
        self, record: record_module.Record, folder: pathlib.Path
    ) -> None:
        self._record = record
        self._folder = folder
        self._block = programs.Addresses()
        self.store = store.Store(record)
        self.link = link.Link()
        #: Name and client address of each entry.
        self.entries: list[tuple[str, tuple[str, int]]] = []
        self.entry_programs: list[programs.Program] = []
        self.agents: list[programs.Program] = []
        self.executors: list[executor.Executor] = []
        #: The ways to the store of the entries, and of the agents.
        self.entry_gates: list[store.Machine] = []
        self.agent_gates: list[store.Machine] = []
        self._hosts = [self._block.host(10 + n) for n in range(ENTRIES - 1)]
        self._hosts.append(self._block.host(30))
        self._seeds = [f"{h}:{programs.CONTROL_PORT}" for h in self._hosts[-3:]]

    async def start(self) -> None:
        """Start everything, and wait until each entry serves.

        :raises NotRunError: if one does not
        """
        self.store.put("keyed.op", "config", programs.configuration(3))
        for number in range(ENTRIES):
            await self._add_entry(number)
        for number in range(AGENTS):
            await self._add_agent(number)
        for one in self.executors:
            await one.start()
        for program in self.entry_programs + self.agents:
            program.start()
        deadline = self._record.now() + 30.0
        for entry in self.entries:
            while not await self._is_served(entry):
                if self._record.now() > deadline:
                    raise NotRunError(f"{entry[0]} serves no job")
                await asyncio.sleep(0.5)
        await asyncio.sleep(3.0)

    async def _add_entry(self, number: int) -> None:
        per_zone = -(-ENTRIES // len(ZONES))
        zone = ZONES[number // per_zone]
        name = f"front-{zone}-{number % per_zone + 1}"
        ip, shown = self._block.host(10 + number), self._hosts[number]
        gate, address = await self._add_gate(100 + number, name)
        if shown != ip:
            for port in (programs.FRONTEND_PORT, programs.PORT_RANGE[0]):
                await self.link.forward((shown, port), (ip, port))
        settings = programs.entry_settings(
            name, zone, ip, address, self._seeds, shown if shown != ip else ""
        )
        self.entry_gates.append(gate)
        self.entry_programs.append(self._program("entry", name, settings))
        self.entries.append((name, clients.frontend(shown)))

    async def _add_agent(self, number: int) -> None:
        zone = ZONES[number % len(ZONES)]
        name = f"side-{zone}-{number // len(ZONES) + 1}"
        ip = self._block.host(40 + number)
        gate, address = await self._add_gate(140 + number, name)
        settings = programs.agent_settings(
            name, zone, ip, address, self._seeds
        )
        self.agent_gates.append(gate)
        self.agents.append(self._program("agent", name, settings))
        self.executors.append(
            executor.Executor(
                name,
                (ip, programs.APP_PORT),
                (ip, programs.CONTROL_PORT),
                "order-desk",
                zone,
                self._record,
            )
        )

    async def _add_gate(
        self, number: int, name: str
    ) -> tuple[store.Machine, str]:
        host = self._block.host(number)
        gate = await self.store.listen(host, programs.STORE_PORT, name)
        return gate, host

    def _program(
        self, role: str, name: str, settings: str
    ) -> programs.Program:
        return programs.Program(
            role, name, settings, self._folder, self._record
        )

    async def _is_served(self, entry: tuple[str, tuple[str, int]]) -> bool:
        client = clients.Client(make_job(4, 0.05), [entry], self._record)
        await client.run()
        return client.status == 200

    def client(
        self, job: clients.Job, entries: abc.Iterable[int]
    ) -> clients.Client:
        """Return the client of a job, which tries entries in that order."""
        chosen = [self.entries[number] for number in entries]
        return clients.Client(job, chosen, self._record)

    def end(self) -> None:
        """End all programs."""
        for program in self.entry_programs + self.agents:
            program.end()


def make_job(tasks: int, work_s: float) -> clients.Job:
    """Return a job of the queue with the longest tasks."""
    name = f"{random.getrandbits(64):016x}"
    return clients.Job(
        name, "trade-quote", tasks, work_s, 1600, DEADLINE_S
    )


Strike = abc.Callable[
    [Deployment, record_module.Record, bool], abc.Awaitable[None]
]


async def play(
    case: pathlib.Path, strike: Strike, rule: str = "TWICE"
) -> int:
    """Play a case and return the exit code of its script.

    :param case: the folder of the case
    :param strike: submits jobs, with the disruption unless told otherwise
    :param rule: the rule that is judged, ``TWICE`` or ``UNASKED``
    """
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    record = record_module.Record(case / "record.txt")
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        deployment = None
        try:
            async with asyncio.timeout(_LONGEST_S):
                deployment = Deployment(record, folder)
                await deployment.start()
                await strike(deployment, record, is_troubled)
        except (NotRunError, TimeoutError, OSError) as exc:
            record.note("case", f"could not run: {exc!r}")
            return EXIT_NOT_RUN
        finally:
            if deployment is not None:
                deployment.end()
            _keep_logs(folder)
    is_twice = rule == "TWICE"
    found = record.overlaps if is_twice else record.starts_after_cancel
    detail = f"{len(found)} starts after a cancel"
    if is_twice:
        detail = (
            f"{len(found)} overlaps, the longest of"
            f" {record.longest_overlap_s:.3f} s"
        )
    verdict = "is broken" if found else "held"
    record.note("case", f"{rule} {verdict}: {detail}")
    record.close()
    return EXIT_BROKEN if found else EXIT_HELD


def _keep_logs(folder: pathlib.Path) -> None:
    """Copy the programs' logs if a folder for them is named."""
    target = os.environ.get("KEEP_LOGS")
    if target:
        for path in folder.glob("*.log"):
            (pathlib.Path(target) / path.name).write_bytes(path.read_bytes())
