"""Decision logic of entries and agents, without I/O and clocks.

Three calls drive a core: ``receive(now, event)`` processes one event,
``tick(now)``, called after the pending events, returns the actions to carry
out, and ``wake_at()`` returns the time by which ``tick`` must be called next.
See docs/core.
"""

from ferryledge.core import _actions
from ferryledge.core import _agent
from ferryledge.core import _entry
from ferryledge.core import _events
from ferryledge.core import _options
from ferryledge.core import _requests
from ferryledge.core import _trace

Action = _actions.Action
AdoptConfig = _actions.AdoptConfig
AgentCore = _agent.AgentCore
AgentOptions = _options.AgentOptions
AnswerClient = _actions.AnswerClient
ClientCancelled = _events.ClientCancelled
ClientSubmitted = _events.ClientSubmitted
ConfigChanged = _events.ConfigChanged
DrainRequested = _events.DrainRequested
EntryCore = _entry.EntryCore
EntryOptions = _options.EntryOptions
Event = _events.Event
Identity = _options.Identity
JobAnswer = _requests.JobAnswer
JobRequest = _requests.JobRequest
Mechanism = _trace.Mechanism
Note = _trace.Note
PeerDown = _events.PeerDown
PeerUp = _events.PeerUp
Received = _events.Received
RunTask = _actions.RunTask
Send = _actions.Send
StopTask = _actions.StopTask
TaskEnded = _events.TaskEnded
TaskRequest = _requests.TaskRequest
Trace = _trace.Trace
VmsListed = _events.VmsListed

__all__ = [
    "Action",
    "AdoptConfig",
    "AgentCore",
    "AgentOptions",
    "AnswerClient",
    "ClientCancelled",
    "ClientSubmitted",
    "ConfigChanged",
    "DrainRequested",
    "EntryCore",
    "EntryOptions",
    "Event",
    "Identity",
    "JobAnswer",
    "JobRequest",
    "Mechanism",
    "Note",
    "PeerDown",
    "PeerUp",
    "Received",
    "RunTask",
    "Send",
    "StopTask",
    "TaskEnded",
    "TaskRequest",
    "Trace",
    "VmsListed",
]
