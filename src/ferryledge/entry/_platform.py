"""Follows the platform: its configuration log and its list of VMs.

Both readers retry for ever, so an entry keeps its last configuration and its
streams while the platform is unreachable.
"""

from collections import abc
import random

import anyio
from anyio import abc as anyio_abc
import loguru

from ferryledge import configlog
from ferryledge import core
from ferryledge import runtime

_INITIAL_RETRY_S = 0.2
_MAX_RETRY_S = 5.0
#: Maximum random delay in seconds before a due checkpoint is appended, so that
#: usually one entry appends it and the others then see it.
_MAX_CHECKPOINT_DELAY_S = 4.0


class ConfigFollower:
    """Follows the configuration log and posts each newer configuration.

    :param client: client of the platform
    :param follower: folds the log's records into a snapshot
    :param post: passes an event to the entry's core
    :param name: this process's name, recorded as the author of checkpoints
    :param wait_s: seconds that a read waits for new records
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
        self._last_read_ok = False

    @property
    def log_up(self) -> bool:
        """Whether the last read of the log succeeded."""
        return self._last_read_ok

    def adopt(self, peer: str, data: bytes) -> None:
        """Use a peer's configuration if it is newer.

        :param peer: name of the peer
        :param data: the peer's snapshot as JSON text
        """
        try:
            snapshot = configlog.decode_snapshot(data)
        except configlog.InvalidRecordError as exc:
            loguru.logger.warning(
                "cannot use a peer's configuration: {}",
                exc,
                step="fold",
                peer=peer,
            )
            return
        if self._follower.adopt(snapshot):
            self._publish("adopted from a peer", peer)

    async def run(self) -> None:
        """Follow the log until cancelled."""
        retry_s = _INITIAL_RETRY_S
        while True:
            try:
                page = await self._client.read(
                    self._follower.position, self._wait_s
                )
            except runtime.PlatformError as exc:
                if self._last_read_ok or retry_s == _INITIAL_RETRY_S:
                    loguru.logger.warning("log unreachable: {}", exc)
                self._last_read_ok = False
                await anyio.sleep(retry_s * (0.5 + random.random()))
                retry_s = min(_MAX_RETRY_S, 2 * retry_s)
                continue
            self._last_read_ok = True
            retry_s = _INITIAL_RETRY_S
            self._fold(page)
            await self._append_due_checkpoint()
            if self._follower.state in (
                configlog.FollowerState.NEEDS_UPGRADE,
                configlog.FollowerState.REPLACED,
            ):
                await anyio.sleep(1.0)

    def _fold(self, page: configlog.LogPage) -> None:
        previous_version = self._follower.snapshot.version
        previous_state = self._follower.state
        for verdict in self._follower.apply_page(page, anyio.current_time()):
            loguru.logger.info("config record: {}", verdict, step="fold")
        if self._follower.state is not previous_state:
            loguru.logger.info(
                "log follower is now {}", self._follower.state, step="fold"
            )
        if self._follower.snapshot.version > previous_version:
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

    async def _append_due_checkpoint(self) -> None:
        """Append a checkpoint if one is due and no peer has appended it."""
        now = anyio.current_time()
        if not self._follower.checkpoint_due(now):
            return
        await anyio.sleep(random.random() * _MAX_CHECKPOINT_DELAY_S)
        try:
            page = await self._client.read(self._follower.position, 0.0)
            self._fold(page)
            if not self._follower.checkpoint_due(anyio.current_time()):
                return
            record = self._follower.checkpoint(self._name)
            await self._client.append(configlog.encode_record(record))
            loguru.logger.info("checkpoint appended", step="checkpoint")
        except runtime.PlatformError as exc:
            loguru.logger.warning(
                "cannot append checkpoint: {}", exc, step="checkpoint"
            )


class VmWatcher:
    """Polls the list of VMs and keeps streams to those of its own region.

    :param client: client of the platform
    :param mesh: the streams of this process
    :param post: passes an event to the entry's core
    :param name: this process's name
    :param region: this process's region; VMs of other regions are ignored
    :param poll_s: mean seconds between reads
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
        self._dialled: dict[str, runtime.VmRecord] = {}

    async def run(self, group: anyio_abc.TaskGroup) -> None:
        """Poll the list until cancelled.

        :param group: runs the tasks that keep the streams open
        """
        while True:
            try:
                vms = await self._client.vms()
            except runtime.PlatformError as exc:
                loguru.logger.warning(
                    "cannot read VM list: {}", exc, step="join"
                )
            else:
                self._apply(vms, group)
            await anyio.sleep(self._poll_s * (0.8 + 0.4 * random.random()))

    def _apply(
        self, vms: list[runtime.VmRecord], group: anyio_abc.TaskGroup
    ) -> None:
        regional = [vm for vm in vms if vm.region == self._region]
        if not regional:
            # A list without VMs of this region is assumed to be a fault.
            return
        self._post(_vms_listed(regional))
        self._forget_removed({vm.name for vm in regional})
        for vm in regional:
            if not self._should_dial(vm):
                continue
            self._forget_if_moved(vm)
            if not self._mesh.is_dialled(vm.name):
                self._dialled[vm.name] = vm
                address = runtime.PeerAddress(vm.name, vm.host, vm.port)
                group.start_soon(self._mesh.keep_dialling, address)

    def _should_dial(self, vm: runtime.VmRecord) -> bool:
        """Return whether this entry opens the stream to a VM.

        Entries dial agents. Of two entries, the one whose name sorts first
        dials, so that a pair shares one stream.
        """
        if vm.role is runtime.VmRole.AGENT:
            return True
        return self._name < vm.name

    def _forget_removed(self, names: set[str]) -> None:
        for name in list(self._dialled):
            if name not in names:
                del self._dialled[name]
                self._mesh.stop_dialling(name)

    def _forget_if_moved(self, vm: runtime.VmRecord) -> None:
        """Stop dialling a VM's previous address."""
        previous = self._dialled.get(vm.name)
        if previous is None:
            return
        if (previous.host, previous.port) != (vm.host, vm.port):
            self._mesh.stop_dialling(vm.name)


def _vms_listed(vms: list[runtime.VmRecord]) -> core.VmsListed:
    return core.VmsListed(
        frozenset(
            vm.name
            for vm in vms
            if vm.role is runtime.VmRole.AGENT
            and vm.state is runtime.VmState.LIVE
        ),
        frozenset(
            vm.name for vm in vms if vm.state is runtime.VmState.LEAVING
        ),
    )
