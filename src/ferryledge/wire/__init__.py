"""Messages between entries and agents, their encoding and the handshake."""

from ferryledge.wire import _codec
from ferryledge.wire import _handover_messages
from ferryledge.wire import _handshake
from ferryledge.wire import _lease_messages
from ferryledge.wire import _messages
from ferryledge.wire import _packing
from ferryledge.wire import _stream_events

AuthenticationError = _handshake.AuthenticationError
Decoder = _codec.Decoder
Message = _codec.Message
WireError = _codec.WireError
encode = _codec.encode
PackingError = _packing.PackingError
pack_bytes = _packing.pack_bytes
pack_text = _packing.pack_text
unpack_bytes = _packing.unpack_bytes
unpack_text = _packing.unpack_text

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
PeerDown = _stream_events.PeerDown
PeerUp = _stream_events.PeerUp
PlaceJob = _messages.PlaceJob
Event = _stream_events.Event
Received = _stream_events.Received
Reconcile = _messages.Reconcile
ReleaseReason = _messages.ReleaseReason
ReportNow = _messages.ReportNow
Role = _messages.Role
Settle = _messages.Settle
StartTasks = _messages.StartTasks
StreamEvent = _stream_events.StreamEvent
TasksFinished = _messages.TasksFinished
TasksReleased = _messages.TasksReleased
Tickets = _messages.Tickets
Verdict = _messages.Verdict
VerdictTag = _messages.VerdictTag

AskLease = _lease_messages.AskLease
ClaimRuns = _lease_messages.ClaimRuns
ConfigDelta = _lease_messages.ConfigDelta
ConfigPiece = _lease_messages.ConfigPiece
CordonedZones = _lease_messages.CordonedZones
EndpointState = _lease_messages.EndpointState
EntryAddress = _lease_messages.EntryAddress
EntryList = _lease_messages.EntryList
Invite = _lease_messages.Invite
SeekAgents = _lease_messages.SeekAgents
GrantLease = _lease_messages.GrantLease
HeldRun = _lease_messages.HeldRun
HowEnded = _lease_messages.HowEnded
LateRun = _lease_messages.LateRun
LateRuns = _lease_messages.LateRuns
LeaseMessage = _lease_messages.LeaseMessage
NotStarted = _lease_messages.NotStarted
OrderRuns = _lease_messages.OrderRuns
Resources = _lease_messages.Resources
RoomWanted = _lease_messages.RoomWanted
RunEnd = _lease_messages.RunEnd
RunsEnded = _lease_messages.RunsEnded
RunsHeld = _lease_messages.RunsHeld
RunsReleased = _lease_messages.RunsReleased
StopRuns = _lease_messages.StopRuns
TaskRun = _lease_messages.TaskRun
ZoneFailures = _lease_messages.ZoneFailures

AskHandedIn = _handover_messages.AskHandedIn
AskRoom = _handover_messages.AskRoom
Declined = _handover_messages.Declined
GrantHandedIn = _handover_messages.GrantHandedIn
HandoverMessage = _handover_messages.HandoverMessage
HowHandled = _handover_messages.HowHandled
JobHandled = _handover_messages.JobHandled
OfferAnswered = _handover_messages.OfferAnswered
OfferJob = _handover_messages.OfferJob
OfferedClass = _handover_messages.OfferedClass
OfferedStep = _handover_messages.OfferedStep
RoomTold = _handover_messages.RoomTold
WithdrawJob = _handover_messages.WithdrawJob

accept = _handshake.accept
connect = _handshake.connect
process_key = _messages.process_key

__all__ = [
    "AbandonJobs",
    "AgentSet",
    "AskHandedIn",
    "AskLease",
    "AskRoom",
    "AskTickets",
    "AuthenticationError",
    "Authorise",
    "CancelJob",
    "CancelRequest",
    "CancelTasks",
    "ClaimRuns",
    "ConfigDelta",
    "ConfigPiece",
    "ConfigReply",
    "ConfigRequest",
    "CordonedZones",
    "Declined",
    "Decoder",
    "EndpointState",
    "EntryAddress",
    "EntryList",
    "Event",
    "FenceOwner",
    "FenceReport",
    "FencedJob",
    "FinishedTask",
    "FrontTask",
    "GrantHandedIn",
    "GrantLease",
    "HandoverMessage",
    "HeldRun",
    "Hello",
    "HowEnded",
    "HowHandled",
    "Invite",
    "JobAnswered",
    "JobHandled",
    "KeepAlive",
    "LateRun",
    "LateRuns",
    "LeaseMessage",
    "Leaving",
    "Message",
    "NotStarted",
    "OfferAnswered",
    "OfferJob",
    "OfferedClass",
    "OfferedStep",
    "OrderRuns",
    "OutcomeRecord",
    "PackingError",
    "PeerDown",
    "PeerUp",
    "PlaceJob",
    "Received",
    "Reconcile",
    "ReleaseReason",
    "ReportNow",
    "Resources",
    "Role",
    "RoomTold",
    "RoomWanted",
    "RunEnd",
    "RunsEnded",
    "RunsHeld",
    "RunsReleased",
    "SeekAgents",
    "Settle",
    "StartTasks",
    "StopRuns",
    "StreamEvent",
    "TaskRun",
    "TasksFinished",
    "TasksReleased",
    "Tickets",
    "Verdict",
    "VerdictTag",
    "WireError",
    "WithdrawJob",
    "ZoneFailures",
    "accept",
    "connect",
    "encode",
    "pack_bytes",
    "pack_text",
    "process_key",
    "unpack_bytes",
    "unpack_text",
]
