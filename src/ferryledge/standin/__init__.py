"""Stand-ins for the platform and for endpoints, for tests and demos."""

from ferryledge.standin import _command
from ferryledge.standin import _endpoint
from ferryledge.standin import _journal
from ferryledge.standin import _leased_endpoint
from ferryledge.standin import _log
from ferryledge.standin import _platform

EndpointBehaviour = _endpoint.EndpointBehaviour
LeasedEndpoint = _leased_endpoint.LeasedEndpoint
LogBehaviour = _log.LogBehaviour
MemoryLog = _log.MemoryLog
StandinEndpoint = _endpoint.StandinEndpoint
StandinPlatform = _platform.StandinPlatform
StartEntry = _journal.StartEntry
StartJournal = _journal.StartJournal
main = _command.main

__all__ = [
    "EndpointBehaviour",
    "LeasedEndpoint",
    "LogBehaviour",
    "MemoryLog",
    "StandinEndpoint",
    "StandinPlatform",
    "StartEntry",
    "StartJournal",
    "main",
]
