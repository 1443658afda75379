"""Messages between the system's own processes and their encoding."""

from ferryledge.wire import _codec
from ferryledge.wire import _handshake
from ferryledge.wire import _messages

AuthenticationError = _handshake.AuthenticationError
Decoder = _codec.Decoder
Message = _messages.Message
WireError = _codec.WireError
encode = _codec.encode

AbandonJobs = _messages.AbandonJobs
AgentSet = _messages.AgentSet
AskTickets = _messages.AskTickets
Authorise = _messages.Authorise
CancelJob = _messages.CancelJob
CancelRequest = _messages.CancelRequest
CancelTasks = _messages.CancelTasks
ConfigReply = _messages.ConfigReply
ConfigRequest = _messages.ConfigRequest
FenceOwner = _messages.FenceOwner
FenceReport = _messages.FenceReport
FencedJob = _messages.FencedJob
FinishedTask = _messages.FinishedTask
FrontTask = _messages.FrontTask
Hello = _messages.Hello
JobAnswered = _messages.JobAnswered
KeepAlive = _messages.KeepAlive
Leaving = _messages.Leaving
OutcomeRecord = _messages.OutcomeRecord
PlaceJob = _messages.PlaceJob
Reconcile = _messages.Reconcile
ReleaseReason = _messages.ReleaseReason
ReportNow = _messages.ReportNow
Role = _messages.Role
Settle = _messages.Settle
StartTasks = _messages.StartTasks
TasksFinished = _messages.TasksFinished
TasksReleased = _messages.TasksReleased
Tickets = _messages.Tickets
Verdict = _messages.Verdict
VerdictTag = _messages.VerdictTag

accept = _handshake.accept
connect = _handshake.connect
process_key = _messages.process_key

__all__ = [
    "AbandonJobs",
    "AgentSet",
    "AskTickets",
    "AuthenticationError",
    "Authorise",
    "CancelJob",
    "CancelRequest",
    "CancelTasks",
    "ConfigReply",
    "ConfigRequest",
    "Decoder",
    "FenceOwner",
    "FenceReport",
    "FencedJob",
    "FinishedTask",
    "FrontTask",
    "Hello",
    "JobAnswered",
    "KeepAlive",
    "Leaving",
    "Message",
    "OutcomeRecord",
    "PlaceJob",
    "Reconcile",
    "ReleaseReason",
    "ReportNow",
    "Role",
    "Settle",
    "StartTasks",
    "TasksFinished",
    "TasksReleased",
    "Tickets",
    "Verdict",
    "VerdictTag",
    "WireError",
    "accept",
    "connect",
    "encode",
    "process_key",
]
