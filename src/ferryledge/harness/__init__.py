"""Drives cores in virtual time over small fakes, with faults.

A :class:`World` holds entry and agent cores, streams between them, endpoints
that keep a journal, clients and the platform's log. Nothing in it sleeps;
the same seed gives the same run.
"""

from ferryledge.harness import _clients
from ferryledge.harness import _endpoints
from ferryledge.harness import _journal
from ferryledge.harness import _log
from ferryledge.harness import _nodes
from ferryledge.harness import _world

ClientRecord = _clients.ClientRecord
EndpointState = _endpoints.EndpointState
Happening = _nodes.Happening
Hook = _nodes.Hook
Journal = _journal.Journal
Moment = _nodes.Moment
Start = _journal.Start
TaskSpec = _endpoints.TaskSpec
VirtualLog = _log.VirtualLog
World = _world.World
WorldOptions = _world.WorldOptions

__all__ = [
    "ClientRecord",
    "EndpointState",
    "Happening",
    "Hook",
    "Journal",
    "Moment",
    "Start",
    "TaskSpec",
    "VirtualLog",
    "World",
    "WorldOptions",
]
