"""A stand-in for the platform: its log and its list of VMs over HTTP."""

import collections
import json
import typing

import pydantic

from ferryledge import runtime
from ferryledge.standin import _log

_MAX_WAIT_S = 60.0
_MS_PER_S = 1000.0
_VMS = pydantic.TypeAdapter(list[runtime.VmRecord])


class StandinPlatform:
    """Serves streams of the log and a list of VMs.

    ``PUT /v1/vms`` replaces the list.
    ``PUT /control`` sets the faults: ``log_down``, ``log_delay_s``,
    ``log_lose_answers``, ``log_forget`` (the offset before which records are
    dropped), ``log_replace``, ``vms_down`` and ``vms_empty``.
    """

    def __init__(self) -> None:
        self._logs: dict[str, _log.MemoryLog] = collections.defaultdict(
            _log.MemoryLog
        )
        self._vms: list[runtime.VmRecord] = []
        self._vms_down = False
        self._vms_empty = False

    def log(self, stream: str = "ferryledge") -> _log.MemoryLog:
        """Return the log of a stream, created on first use."""
        return self._logs[stream]

    def list_vms(self, vms: list[runtime.VmRecord]) -> None:
        """Replace the list of VMs."""
        self._vms = list(vms)

    async def handle(self, request: runtime.Request) -> runtime.HttpResponse:
        """Handle one HTTP request."""
        match request.method, request.parts:
            case "POST", ("v1", "log", stream):
                return await self._append(request, stream)
            case "GET", ("v1", "log", stream):
                return await self._read(request, stream)
            case "GET", ("v1", "vms"):
                return self._get_vms()
            case "PUT", ("v1", "vms"):
                body = await request.body()
                self.list_vms(_VMS.validate_json(body))
                return runtime.HttpResponse.json(200, {})
            case "PUT", ("control",):
                self._set_faults(json.loads(await request.body()))
                return runtime.HttpResponse.json(200, {})
        return runtime.HttpResponse.json(404, {"error": "no such page"})

    async def _append(
        self, request: runtime.Request, stream: str
    ) -> runtime.HttpResponse:
        body = await request.body()
        try:
            offset = await self.log(stream).append(body.decode())
        except _log.LogDownError:
            return runtime.HttpResponse.json(503, {"error": "log is down"})
        return runtime.HttpResponse.json(200, {"offset": offset})

    async def _read(
        self, request: runtime.Request, stream: str
    ) -> runtime.HttpResponse:
        position = int(request.query("from", "0"))
        limit = int(request.query("limit", "100"))
        wait_s = int(request.query("wait_ms", "0")) / _MS_PER_S
        wait_s = min(wait_s, _MAX_WAIT_S)
        try:
            page = await self.log(stream).read(position, limit, wait_s)
        except _log.LogDownError:
            return runtime.HttpResponse.json(503, {"error": "log is down"})
        return runtime.HttpResponse.json(200, page)

    def _get_vms(self) -> runtime.HttpResponse:
        if self._vms_down:
            return runtime.HttpResponse.json(503, {"error": "list is down"})
        vms = [] if self._vms_empty else self._vms
        return runtime.HttpResponse(200, _VMS.dump_json(vms))

    def _set_faults(self, settings: dict[str, typing.Any]) -> None:
        log = self.log()
        current = log.behaviour
        log.behaviour = _log.LogBehaviour(
            down=settings.get("log_down", current.down),
            delay_s=settings.get("log_delay_s", current.delay_s),
            lose_answers=settings.get(
                "log_lose_answers", current.lose_answers
            ),
        )
        if "log_forget" in settings:
            log.truncate(settings["log_forget"])
        if settings.get("log_replace"):
            log.replace()
        self._vms_down = settings.get("vms_down", self._vms_down)
        self._vms_empty = settings.get("vms_empty", self._vms_empty)
