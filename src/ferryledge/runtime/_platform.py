"""HTTP client of the platform's log service and VM list."""

import enum

import anyio
import pydantic

from ferryledge import configlog
from ferryledge import net

_LOG_NAME = "ferryledge"
_CALL_TIMEOUT_S = 5.0
_MAX_PAGE_RECORDS = 500
_MAX_CONNECTIONS = 4


class PlatformError(Exception):
    """The platform did not respond, or responded with an error.

    :param step: the call that failed
    :param peer: base address of the platform
    :param detail: what went wrong
    """

    def __init__(self, step: str, peer: str, detail: str) -> None:
        super().__init__(f"{step} at {peer}: {detail}")
        #: The call that failed.
        self.step = step
        #: Base address of the platform.
        self.peer = peer


class AppendLostError(PlatformError):
    """An append failed; the record may still be in the log.

    It is raised for every failed append, even if the platform was not reached.
    """


class VmRole(enum.StrEnum):
    """The daemon that runs on a VM."""

    ENTRY = "entry"
    AGENT = "agent"


class VmState(enum.StrEnum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class VmRecord(pydantic.BaseModel):
    """One VM in the platform's list."""

    name: str
    role: VmRole
    host: str
    port: int
    #: Availability zone; the list may use the earlier name ``hall``.
    zone: str = pydantic.Field(
        validation_alias=pydantic.AliasChoices("zone", "hall")
    )
    region: str = "main"
    state: VmState = VmState.LIVE


class _RecordModel(pydantic.BaseModel):
    offset: int
    data: str


class _PageModel(pydantic.BaseModel):
    log_id: str
    first: int
    end: int
    records: list[_RecordModel]


class _AppendModel(pydantic.BaseModel):
    offset: int


_VM_LIST = pydantic.TypeAdapter(list[VmRecord])


class PlatformClient:
    """Calls the platform over HTTP.

    :param url: base address, such as ``http://127.0.0.1:7000``
    """

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._http_client = net.HttpClient(self._url, _MAX_CONNECTIONS)

    async def close(self) -> None:
        """Close all connections."""
        await self._http_client.close()

    async def read(self, position: int, wait_s: float) -> configlog.LogPage:
        """Read a page of the log.

        :param position: offset of the first record to read
        :param wait_s: seconds to wait for a record if there is none yet
        :raises PlatformError: if the platform sends no valid response
        """
        path = (
            f"/v1/log/{_LOG_NAME}?from={position}&limit={_MAX_PAGE_RECORDS}"
            f"&wait_ms={int(wait_s * 1000)}"
        )
        data = await self._call(
            "read", "GET", path, b"", wait_s + _CALL_TIMEOUT_S
        )
        try:
            page = _PageModel.model_validate_json(data)
        except pydantic.ValidationError as exc:
            raise PlatformError("read", self._url, str(exc)) from exc
        records = tuple(
            configlog.LogRecord(record.offset, record.data.encode())
            for record in page.records
        )
        return configlog.LogPage(page.log_id, page.first, page.end, records)

    async def append(self, record: bytes) -> int:
        """Append a record and return its offset.

        :raises AppendLostError: if there is no valid response; the record may
            still be in the log
        """
        path = f"/v1/log/{_LOG_NAME}"
        try:
            data = await self._call(
                "append", "POST", path, record, _CALL_TIMEOUT_S
            )
            return _AppendModel.model_validate_json(data).offset
        except (PlatformError, pydantic.ValidationError) as exc:
            raise AppendLostError("append", self._url, str(exc)) from exc

    async def vms(self) -> list[VmRecord]:
        """Return the platform's list of VMs, which may be out of date.

        :raises PlatformError: if the platform sends no valid response
        """
        data = await self._call("vms", "GET", "/v1/vms", b"", _CALL_TIMEOUT_S)
        try:
            return _VM_LIST.validate_json(data)
        except pydantic.ValidationError as exc:
            raise PlatformError("vms", self._url, str(exc)) from exc

    async def _call(
        self, step: str, method: str, path: str, body: bytes, wait_s: float
    ) -> bytes:
        try:
            with anyio.fail_after(wait_s):
                response = await self._http_client.call(method, path, body)
        except TimeoutError as exc:
            raise PlatformError(step, self._url, "no answer") from exc
        except net.CallError as exc:
            detail = f"{type(exc).__name__}: {exc}"
            raise PlatformError(step, self._url, detail) from exc
        if response.status != 200:
            detail = f"status {response.status}: {response.content[:200]!r}"
            raise PlatformError(step, self._url, detail)
        return response.content
