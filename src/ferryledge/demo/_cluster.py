"""A cluster of stand-ins, entries and agents in one process."""

import dataclasses

import anyio
from anyio import abc as anyio_abc

from ferryledge import agent
from ferryledge import configlog
from ferryledge import entry
from ferryledge import runtime
from ferryledge import standin

KEY = "demo-key-demo-key-demo"
_HOST = "127.0.0.1"
_POLL_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class ClusterOptions:
    """Size of a cluster.

    Processes are assigned to the zones in rotation.
    """

    entries: int = 2
    agents: int = 3
    #: Slots of each agent.
    slots: int = 8
    zones: tuple[str, ...] = ("north", "south", "west")


class LocalCluster:
    """Runs the processes of a cluster as tasks of a task group.

    :param options: size of the cluster
    :param configuration: the entities to publish at start
    """

    def __init__(
        self,
        options: ClusterOptions,
        configuration: tuple[configlog.Entity, ...],
    ) -> None:
        self._options = options
        self._configuration = configuration
        self._drain_events: dict[str, anyio.Event] = {}
        self._vms: list[runtime.VmRecord] = []
        self.platform = standin.StandinPlatform()
        self.platform_url = ""
        self.journal = standin.StartJournal()
        self.endpoints: list[standin.StandinEndpoint] = []
        self.endpoint_urls: list[str] = []
        self.entries: list[entry.Entry] = []
        self.agents: list[agent.Agent] = []

    @property
    def urls(self) -> tuple[str, ...]:
        """URLs of the entries, for clients."""
        return tuple(
            f"http://{_HOST}:{process.http_port}" for process in self.entries
        )

    @property
    def messages(self) -> int:
        """Number of messages sent between the processes so far."""
        meshes = [process.mesh for process in self.entries]
        meshes += [process.mesh for process in self.agents]
        return sum(mesh.messages_sent for mesh in meshes)

    async def start(self, group: anyio_abc.TaskGroup) -> None:
        """Start all processes and wait until the cluster serves jobs.

        :param group: the task group in which the processes run
        """
        self.platform_url = await self._serve(group, self.platform.handle)
        await self.publish(self._configuration, "start")
        for number in range(self._options.agents):
            await self._start_agent(group, number)
        for number in range(self._options.entries):
            await self._start_entry(group, number)
        self.platform.list_vms(self._vms)
        await self._wait_until_ready()

    async def publish(
        self, entities: tuple[configlog.Entity, ...], reason: str
    ) -> configlog.Change:
        """Publish entities as a change to the newest configuration.

        :param entities: the entities to add or replace
        :param reason: the reason recorded in the change
        :returns: the published change
        """
        client = runtime.PlatformClient(self.platform_url)
        follower = configlog.Follower()
        follower.apply_page(await client.read(0, 0.0), anyio.current_time())
        change = configlog.change_between(
            follower.snapshot,
            entities,
            f"demo-{follower.snapshot.version + 1}",
            "demo",
            reason,
            0.0,
            delete_missing=False,
        )
        await client.append(configlog.encode_record(change))
        await client.close()
        return change

    def drain(self, name: str) -> None:
        """Start the graceful shutdown of a process.

        :param name: the process, such as ``agent-1``
        """
        self._drain_events[name].set()

    async def _serve(
        self, group: anyio_abc.TaskGroup, handler: runtime.Handler
    ) -> str:
        port = await group.start(
            runtime.serve_http,
            runtime.asgi_app(handler),
            _HOST,
            0,
            anyio.Event(),
        )
        return f"http://{_HOST}:{port}"

    async def _start_agent(
        self, group: anyio_abc.TaskGroup, number: int
    ) -> None:
        name = f"agent-{number + 1}"
        endpoint = standin.StandinEndpoint(name, self.journal)
        url = await self._serve(group, endpoint.handle)
        zone = self._zone_of(number)
        process = agent.Agent(
            agent.AgentSettings(
                name=name,
                zone=zone,
                peer_keys=KEY,
                endpoint_url=url,
                slots=self._options.slots,
            )
        )
        await self._start(group, name, process)
        self.endpoints.append(endpoint)
        self.endpoint_urls.append(url)
        self.agents.append(process)
        self._add_vm(name, runtime.VmRole.AGENT, process.peer_port, zone)

    async def _start_entry(
        self, group: anyio_abc.TaskGroup, number: int
    ) -> None:
        name = f"entry-{number + 1}"
        zone = self._zone_of(number)
        process = entry.Entry(
            entry.EntrySettings(
                name=name,
                zone=zone,
                peer_keys=KEY,
                platform_url=self.platform_url,
                vms_poll_s=0.1,
            )
        )
        await self._start(group, name, process)
        self.entries.append(process)
        self._add_vm(name, runtime.VmRole.ENTRY, process.peer_port, zone)

    async def _start(
        self,
        group: anyio_abc.TaskGroup,
        name: str,
        process: agent.Agent | entry.Entry,
    ) -> None:
        drain = self._drain_events[name] = anyio.Event()

        async def run(*, task_status: anyio_abc.TaskStatus[None]) -> None:
            await process.run(drain, task_status=task_status)

        await group.start(run)

    def _add_vm(
        self, name: str, role: runtime.VmRole, port: int, zone: str
    ) -> None:
        self._vms.append(
            runtime.VmRecord(
                name=name, role=role, host=_HOST, port=port, zone=zone
            )
        )

    def _zone_of(self, number: int) -> str:
        return self._options.zones[number % len(self._options.zones)]

    async def _wait_until_ready(self) -> None:
        peers = self._options.entries - 1 + self._options.agents
        for process in self.entries:
            while not process.entry_core.ready:
                await anyio.sleep(_POLL_S)
            while len(list(process.entry_core.peers)) < peers:
                await anyio.sleep(_POLL_S)
