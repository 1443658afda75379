"""The processes of a soak and the stand-ins around them."""

from collections import abc
import os
import pathlib
import random

from ferryledge import leases
from ferryledge import net
from ferryledge.platform import standin as platform_standin
from ferryledge.soak import _plan
from ferryledge.soak import _processes
from ferryledge.soak import _proxy
from ferryledge.soak import _workload
from ferryledge import standin
from ferryledge import wire

#: Each soak takes ports of its own, so that several may run side by side.
_FIRST_PORT = 20_000
_PORTS_A_SOAK = 40
_SOAKS = 300
_PORT = _FIRST_PORT + os.getpid() % _SOAKS * _PORTS_A_SOAK
FRONTEND_PORT = _PORT + 10
_CONTROL_PORT = _PORT + 12
STORE_PORT = _PORT + 20
_ENDPOINT_PORT = _PORT + 21
STORE_HOST = "127.0.5.1"
_CAPACITY = wire.Resources(8000, 16000, 0)
#: Machines stand in these availability zones in turn.
_ZONES = ("north", "south")

Watch = abc.Callable[[str, leases.RunKey, str], None]
OnNotice = abc.Callable[[platform_standin.RunNotice, leases.RunKey, str], None]


def zone_of(number: int) -> str:
    """Return the availability zone of the machine with that number."""
    return _ZONES[number % len(_ZONES)]


def entry_host(number: int) -> str:
    """Return the address of an entry's machine."""
    return f"127.0.1.{number + 1}"


def _proxy_host(number: int) -> str:
    return f"127.0.2.{number + 1}"


def _agent_host(number: int) -> str:
    return f"127.0.3.{number + 1}"


def _endpoint_host(number: int) -> str:
    return f"127.0.4.{number + 1}"


def agent_client(number: int) -> net.HttpClient:
    """Return a client of the calls that an endpoint makes to its agent."""
    return net.HttpClient(f"http://{_agent_host(number)}:{_CONTROL_PORT}", 1)


class Deployment:
    """All programs, the proxies before entries, the store, the endpoints.

    :param plan: how many there are
    :param folder: where settings and logs go
    :param workload: what tasks need and take
    :param watch: called with "start" or "end" of a run at an endpoint
    :param on_notice: called with what agents tell endpoints of runs
    """

    def __init__(
        self,
        plan: _plan.Plan,
        folder: pathlib.Path,
        workload: _workload.Workload,
        watch: Watch,
        on_notice: OnNotice,
    ) -> None:
        self._seed = plan.seed
        self._folder = folder
        self._workload = workload
        self._watch = watch
        self._on_notice = on_notice
        self._rng = random.Random(plan.seed + 1)
        self.store = platform_standin.StoreServer()
        self.proxies = [
            _proxy.Proxy((_proxy_host(n), _PORT), (entry_host(n), _PORT))
            for n in range(plan.entries)
        ]
        self.entries = [
            self._program("entry", n, _proxy_host(n), entry_host(n))
            for n in range(plan.entries)
        ]
        self.agents = [
            self._program("agent", n, _agent_host(n), _agent_host(n))
            for n in range(plan.agents)
        ]
        self.endpoints = [self._endpoint(n) for n in range(plan.agents)]

    @property
    def programs(self) -> list[_processes.Program]:
        """Entries and agents."""
        return [*self.entries, *self.agents]

    def _program(
        self, role: str, number: int, shown: str, host: str
    ) -> _processes.Program:
        endpoint = ""
        if role == "agent":
            endpoint = f"{_endpoint_host(number)}:{_ENDPOINT_PORT}"
        name = f"{role}-{number}"
        store = f"{STORE_HOST}:{STORE_PORT}"
        settings = platform_standin.render_settings(
            name, shown, host, _PORT, store, endpoint, zone_of(number)
        )
        return _processes.Program(name, role, settings, self._folder)

    def _endpoint(self, number: int) -> platform_standin.EndpointServer:
        name = f"endpoint-{number}"
        model = standin.LeasedEndpoint(
            name,
            _CAPACITY,
            0.0,
            self._workload.need_of,
            self._workload.work_of,
            self._watch,
            1.0 - 0.02 * self._rng.random(),
        )
        return platform_standin.EndpointServer(
            "desk",
            _endpoint_host(number),
            _ENDPOINT_PORT,
            f"http://{_agent_host(number)}:{_CONTROL_PORT}",
            model,
            random.Random(self._seed + number),
            self._on_notice,
        )
