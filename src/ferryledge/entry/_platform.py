"""Keeps an entry's configuration and list of VMs up to date."""

from collections import abc
import random

import anyio
from anyio import abc as anyio_abc
import loguru

from ferryledge import configlog
from ferryledge import core
from ferryledge import runtime

_FIRST_RETRY_S = 0.2
_LONGEST_RETRY_S = 5.0
#: A due checkpoint is appended within that many seconds, by chance.
_CHECKPOINT_JITTER_S = 4.0


class ConfigFollower:
    """Reads the platform's log and posts newer configurations.

    :param client: the platform
    :param follower: folds what is read
    :param post: takes the events
    :param name: this process's name, the author of checkpoints
    :param wait_s: seconds that a read waits for records
    """

    def __init__(
        self,
        client: runtime.PlatformClient,
        follower: configlog.Follower,
        post: abc.Callable[[core.Event], None],
        name: str,
        wait_s: float,
    ) -> None:
        self._client = client
        self._follower = follower
        self._post = post
        self._name = name
        self._wait_s = wait_s
        self._log_up = False

    @property
    def log_up(self) -> bool:
        """Whether the last read of the log succeeded."""
        return self._log_up

    def adopt(self, peer: str, data: bytes) -> None:
        """Take a peer's configuration if it is newer."""
        try:
            snapshot = configlog.decode_snapshot(data)
        except configlog.InvalidRecordError as exc:
            loguru.logger.warning(
                "peer's configuration: {}", exc, step="fold", peer=peer
            )
            return
        if self._follower.adopt(snapshot):
            self._publish("adopted from a peer", peer)

    async def run(self) -> None:
        """Follow the log for ever."""
        delay = _FIRST_RETRY_S
        while True:
            try:
                page = await self._client.read(
                    self._follower.position, self._wait_s
                )
            except runtime.PlatformError as exc:
                if self._log_up or delay == _FIRST_RETRY_S:
                    loguru.logger.warning("log unreachable: {}", exc)
                self._log_up = False
                await anyio.sleep(delay * (0.5 + random.random()))
                delay = min(_LONGEST_RETRY_S, 2 * delay)
                continue
            self._log_up = True
            delay = _FIRST_RETRY_S
            self._fold(page)
            await self._checkpoint()
            if self._follower.state in (
                configlog.FollowerState.NEEDS_UPGRADE,
                configlog.FollowerState.REPLACED,
            ):
                await anyio.sleep(1.0)

    def _fold(self, page: configlog.LogPage) -> None:
        version = self._follower.snapshot.version
        state = self._follower.state
        for verdict in self._follower.accept(page, anyio.current_time()):
            loguru.logger.info("config record: {}", verdict, step="fold")
        if self._follower.state is not state:
            loguru.logger.info(
                "follower is {}", self._follower.state, step="fold"
            )
        if self._follower.snapshot.version > version:
            self._publish("read from the log", "")

    def _publish(self, how: str, peer: str) -> None:
        snapshot = self._follower.snapshot
        loguru.logger.info(
            "configuration {} in force, {}",
            snapshot.version,
            how,
            step="fold",
            peer=peer,
        )
        self._post(core.ConfigChanged(snapshot))

    async def _checkpoint(self) -> None:
        now = anyio.current_time()
        if not self._follower.checkpoint_due(now):
            return
        await anyio.sleep(random.random() * _CHECKPOINT_JITTER_S)
        try:
            page = await self._client.read(self._follower.position, 0.0)
            self._fold(page)
            if not self._follower.checkpoint_due(anyio.current_time()):
                return
            record = self._follower.checkpoint(self._name)
            await self._client.append(configlog.encode_record(record))
            loguru.logger.info("checkpoint appended", step="checkpoint")
        except runtime.PlatformError as exc:
            loguru.logger.warning("checkpoint: {}", exc, step="checkpoint")


class VmWatcher:
    """Reads the list of VMs and keeps streams to them.

    :param client: the platform
    :param mesh: the streams
    :param post: takes the events
    :param name: this process's name
    :param region: this process's region
    :param poll_s: seconds between reads
    """

    def __init__(
        self,
        client: runtime.PlatformClient,
        mesh: runtime.Mesh,
        post: abc.Callable[[core.Event], None],
        name: str,
        region: str,
        poll_s: float,
    ) -> None:
        self._client = client
        self._mesh = mesh
        self._post = post
        self._name = name
        self._region = region
        self._poll_s = poll_s
        self._known: dict[str, runtime.VmRecord] = {}

    async def run(self, group: anyio_abc.TaskGroup) -> None:
        """Watch the list for ever, dialling in a task group."""
        while True:
            try:
                vms = await self._client.vms()
            except runtime.PlatformError as exc:
                loguru.logger.warning("VM list: {}", exc, step="join")
            else:
                self._apply(vms, group)
            await anyio.sleep(self._poll_s * (0.8 + 0.4 * random.random()))

    def _apply(
        self, vms: list[runtime.VmRecord], group: anyio_abc.TaskGroup
    ) -> None:
        mine = [one for one in vms if one.region == self._region]
        if not mine:
            # An empty list removes nobody.
            return
        self._post(_listed(mine))
        self._forget_gone({one.name for one in mine})
        for one in mine:
            if not self._dials(one):
                continue
            self._mesh_forget_moved(one)
            if not self._mesh.is_dialled(one.name):
                self._known[one.name] = one
                address = runtime.PeerAddress(one.name, one.host, one.port)
                group.start_soon(self._mesh.keep_dialling, address)

    def _dials(self, vm: runtime.VmRecord) -> bool:
        """Return whether this side of a pair dials."""
        if vm.role is runtime.VmRole.AGENT:
            return True
        return self._name < vm.name

    def _forget_gone(self, names: set[str]) -> None:
        for name in list(self._known):
            if name not in names:
                del self._known[name]
                self._mesh.forget(name)

    def _mesh_forget_moved(self, vm: runtime.VmRecord) -> None:
        known = self._known.get(vm.name)
        if known is None:
            return
        if (known.host, known.port) != (vm.host, vm.port):
            self._mesh.forget(vm.name)


def _listed(vms: list[runtime.VmRecord]) -> core.VmsListed:
    return core.VmsListed(
        frozenset(
            one.name
            for one in vms
            if one.role is runtime.VmRole.AGENT
            and one.state is runtime.VmState.LIVE
        ),
        frozenset(
            one.name for one in vms if one.state is runtime.VmState.LEAVING
        ),
    )
