"""Messages between entries and agents, their encoding and the handshake."""

from ferryledge.wire import _codec
from ferryledge.wire import _handover_messages
from ferryledge.wire import _handshake
from ferryledge.wire import _lease_messages
from ferryledge.wire import _messages
from ferryledge.wire import _packing
from ferryledge.wire import _stream_events
from ferryledge.wire import _stream_order

AuthenticationError = _handshake.AuthenticationError
Decoder = _codec.Decoder
EncodingError = _codec.EncodingError
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
TicketRequest = _messages.TicketRequest
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
PlacedTask = _messages.PlacedTask
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
StreamOrder = _stream_order.StreamOrder
TasksFinished = _messages.TasksFinished
TasksReleased = _messages.TasksReleased
Tickets = _messages.Tickets
Verdict = _messages.Verdict
VerdictTag = _messages.VerdictTag

GrantRequest = _lease_messages.GrantRequest
ClaimRuns = _lease_messages.ClaimRuns
ConfigDelta = _lease_messages.ConfigDelta
ConfigPiece = _lease_messages.ConfigPiece
CordonedZones = _lease_messages.CordonedZones
EndpointState = _lease_messages.EndpointState
EntryAddress = _lease_messages.EntryAddress
EntryList = _lease_messages.EntryList
Invite = _lease_messages.Invite
FindJobs = _lease_messages.FindJobs
FoundJob = _lease_messages.FoundJob
InviteAgents = _lease_messages.InviteAgents
JobPresence = _lease_messages.JobPresence
JobsCancelled = _lease_messages.JobsCancelled
JobsCompleted = _lease_messages.JobsCompleted
JobsFound = _lease_messages.JobsFound
JobsRegistered = _lease_messages.JobsRegistered
JobsResubmitted = _lease_messages.JobsResubmitted
LeaseGrant = _lease_messages.LeaseGrant
HeldRun = _lease_messages.HeldRun
RunOutcome = _lease_messages.RunOutcome
LateRun = _lease_messages.LateRun
LateRuns = _lease_messages.LateRuns
LeaseMessage = _lease_messages.LeaseMessage
RunReleaseReason = _lease_messages.RunReleaseReason
OrderRuns = _lease_messages.OrderRuns
RecalledReport = _lease_messages.RecalledReport
RegisterJobs = _lease_messages.RegisterJobs
Relay = _lease_messages.Relay
RelayFailed = _lease_messages.RelayFailed
RegisteredJob = _lease_messages.RegisteredJob
Resources = _lease_messages.Resources
UrgencyReport = _lease_messages.UrgencyReport
RunEnd = _lease_messages.RunEnd
RunsEnded = _lease_messages.RunsEnded
RunsHeld = _lease_messages.RunsHeld
RunsReleased = _lease_messages.RunsReleased
StopRuns = _lease_messages.StopRuns
SubmittedJob = _lease_messages.SubmittedJob
TaskRun = _lease_messages.TaskRun
ZoneFailures = _lease_messages.ZoneFailures

HandoverGrantRequest = _handover_messages.HandoverGrantRequest
CapacityRequest = _handover_messages.CapacityRequest
DeclineReason = _handover_messages.DeclineReason
HandoverGrant = _handover_messages.HandoverGrant
HandoverMessage = _handover_messages.HandoverMessage
HandoverOutcome = _handover_messages.HandoverOutcome
HandoverEnded = _handover_messages.HandoverEnded
OfferAnswered = _handover_messages.OfferAnswered
OfferJob = _handover_messages.OfferJob
OfferedJobClass = _handover_messages.OfferedJobClass
OfferedStep = _handover_messages.OfferedStep
CapacityReport = _handover_messages.CapacityReport
WithdrawJob = _handover_messages.WithdrawJob

accept = _handshake.accept
connect = _handshake.connect
process_key = _messages.process_key

__all__ = [
    "AbandonJobs",
    "AgentSet",
    "AuthenticationError",
    "Authorise",
    "CancelJob",
    "CancelRequest",
    "CancelTasks",
    "CapacityReport",
    "CapacityRequest",
    "ClaimRuns",
    "ConfigDelta",
    "ConfigPiece",
    "ConfigReply",
    "ConfigRequest",
    "CordonedZones",
    "DeclineReason",
    "Decoder",
    "EncodingError",
    "EndpointState",
    "EntryAddress",
    "EntryList",
    "Event",
    "FenceOwner",
    "FenceReport",
    "FencedJob",
    "FindJobs",
    "FinishedTask",
    "FoundJob",
    "GrantRequest",
    "HandoverEnded",
    "HandoverGrant",
    "HandoverGrantRequest",
    "HandoverMessage",
    "HandoverOutcome",
    "HeldRun",
    "Hello",
    "Invite",
    "InviteAgents",
    "JobAnswered",
    "JobPresence",
    "JobsCancelled",
    "JobsCompleted",
    "JobsFound",
    "JobsRegistered",
    "JobsResubmitted",
    "KeepAlive",
    "LateRun",
    "LateRuns",
    "LeaseGrant",
    "LeaseMessage",
    "Leaving",
    "Message",
    "OfferAnswered",
    "OfferJob",
    "OfferedJobClass",
    "OfferedStep",
    "OrderRuns",
    "OutcomeRecord",
    "PackingError",
    "PeerDown",
    "PeerUp",
    "PlaceJob",
    "PlacedTask",
    "RecalledReport",
    "Received",
    "Reconcile",
    "RegisterJobs",
    "RegisteredJob",
    "Relay",
    "RelayFailed",
    "ReleaseReason",
    "ReportNow",
    "Resources",
    "Role",
    "RunEnd",
    "RunOutcome",
    "RunReleaseReason",
    "RunsEnded",
    "RunsHeld",
    "RunsReleased",
    "Settle",
    "StartTasks",
    "StopRuns",
    "StreamEvent",
    "StreamOrder",
    "SubmittedJob",
    "TaskRun",
    "TasksFinished",
    "TasksReleased",
    "TicketRequest",
    "Tickets",
    "UrgencyReport",
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
