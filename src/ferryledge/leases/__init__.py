"""Decision cores of entries and agents for tasks that run under leases.

Both cores are driven like those of :mod:`ferryledge.core`: pass each event to
``receive``, perform the actions that ``tick`` returns, and call ``tick`` again
at the time that ``wake_at`` returns.
"""

import typing

from ferryledge import _lazy

if typing.TYPE_CHECKING:
    from ferryledge.leases import _agent
    from ferryledge.leases import _agent_events
    from ferryledge.leases import _config_exchange
    from ferryledge.leases import _config_readers
    from ferryledge.leases import _entry
    from ferryledge.leases import _entry_events
    from ferryledge.leases import _incarnations
    from ferryledge.leases import _job_queries
    from ferryledge.leases import _jobs
    from ferryledge.leases import _meters
    from ferryledge.leases import _rules
    from ferryledge.leases import _runs
    from ferryledge.leases import _timing

    AgentAction = _agent_events.AgentAction
    AgentDrain = _agent_events.AgentDrain
    AgentMeter = _meters.AgentMeter
    AgentEvent = _agent_events.AgentEvent
    AnswerJob = _entry_events.AnswerJob
    AnswerQuery = _entry_events.AnswerQuery
    ApplyConfig = _entry_events.ApplyConfig
    CallFault = _agent_events.CallFault
    ClientLeft = _entry_events.ClientLeft
    CloseStream = _agent_events.CloseStream
    ConfigExchange = _config_exchange.ConfigExchange
    ConfigFetchFailed = _entry_events.ConfigFetchFailed
    ConfigRead = _entry_events.ConfigRead
    CordonsRead = _entry_events.CordonsRead
    DialEntries = _agent_events.DialEntries
    EndpointLeft = _agent_events.EndpointLeft
    EndpointRestored = _agent_events.EndpointRestored
    EndpointHeartbeat = _agent_events.EndpointHeartbeat
    EntriesFound = _agent_events.EntriesFound
    EntryAction = _entry_events.EntryAction
    EntryDrain = _entry_events.EntryDrain
    EntryMeter = _meters.EntryMeter
    EntryEvent = _entry_events.EntryEvent
    EntryRules = _rules.EntryRules
    EntryStop = _entry_events.EntryStop
    JobCancelled = _entry_events.JobCancelled
    JobLookedUp = _entry_events.JobLookedUp
    JobClass = _jobs.JobClass
    JobStep = _jobs.JobStep
    JobSubmitted = _entry_events.JobSubmitted
    CancelReopen = _agent_events.CancelReopen
    DisconnectEntry = _agent_events.DisconnectEntry
    LeaseAgent = _agent.LeaseAgent
    LeaseEntry = _entry.LeaseEntry
    LeaseNotRenewed = _agent_events.LeaseNotRenewed
    LeaseRenewed = _agent_events.LeaseRenewed
    LeaseTiming = _timing.LeaseTiming
    LeasedJob = _jobs.LeasedJob
    ListRuns = _agent_events.ListRuns
    ListedEnd = _agent_events.ListedEnd
    ListedRun = _agent_events.ListedRun
    SaveEndpoint = _agent_events.SaveEndpoint
    QueryResult = _job_queries.QueryResult
    Renewal = _agent_events.Renewal
    ReopenStream = _agent_events.ReopenStream
    RunKey = _runs.RunKey
    SendMessage = _agent_events.SendMessage
    StartAnswered = _agent_events.StartAnswered
    StartResult = _agent_events.StartResult
    StartRun = _agent_events.StartRun
    StopAnswered = _agent_events.StopAnswered
    StopRun = _agent_events.StopRun
    TaskKey = _runs.TaskKey
    endpoint_id_of = _incarnations.endpoint_id_of
    incarnation_of = _incarnations.incarnation_of
    is_endpoint_id = _incarnations.is_endpoint_id
    is_narrow_link = _config_readers.is_narrow_link
else:
    # Loaded lazily, so that an entry does not import an agent's modules.
    __getattr__ = _lazy.attach(
        __name__,
        {
            "_agent": ("LeaseAgent",),
            "_agent_events": (
                "AgentAction",
                "AgentDrain",
                "AgentEvent",
                "CallFault",
                "CloseStream",
                "DialEntries",
                "EndpointLeft",
                "EndpointRestored",
                "EndpointHeartbeat",
                "EntriesFound",
                "CancelReopen",
                "LeaseNotRenewed",
                "LeaseRenewed",
                "DisconnectEntry",
                "ListRuns",
                "ListedEnd",
                "ListedRun",
                "SaveEndpoint",
                "Renewal",
                "ReopenStream",
                "SendMessage",
                "StartAnswered",
                "StartResult",
                "StartRun",
                "StopAnswered",
                "StopRun",
            ),
            "_config_exchange": ("ConfigExchange",),
            "_config_readers": ("is_narrow_link",),
            "_entry": ("LeaseEntry",),
            "_entry_events": (
                "AnswerJob",
                "AnswerQuery",
                "ApplyConfig",
                "ClientLeft",
                "ConfigFetchFailed",
                "ConfigRead",
                "CordonsRead",
                "EntryAction",
                "EntryDrain",
                "EntryEvent",
                "EntryStop",
                "JobCancelled",
                "JobLookedUp",
                "JobSubmitted",
            ),
            "_jobs": (
                "JobClass",
                "JobStep",
                "LeasedJob",
            ),
            "_job_queries": ("QueryResult",),
            "_incarnations": (
                "endpoint_id_of",
                "incarnation_of",
                "is_endpoint_id",
            ),
            "_meters": (
                "AgentMeter",
                "EntryMeter",
            ),
            "_rules": ("EntryRules",),
            "_runs": ("RunKey", "TaskKey"),
            "_timing": ("LeaseTiming",),
        },
    )

__all__ = [
    "AgentAction",
    "AgentDrain",
    "AgentEvent",
    "AgentMeter",
    "AnswerJob",
    "AnswerQuery",
    "ApplyConfig",
    "CallFault",
    "CancelReopen",
    "ClientLeft",
    "CloseStream",
    "ConfigExchange",
    "ConfigFetchFailed",
    "ConfigRead",
    "CordonsRead",
    "DialEntries",
    "DisconnectEntry",
    "EndpointHeartbeat",
    "EndpointLeft",
    "EndpointRestored",
    "EntriesFound",
    "EntryAction",
    "EntryDrain",
    "EntryEvent",
    "EntryMeter",
    "EntryRules",
    "EntryStop",
    "JobCancelled",
    "JobClass",
    "JobLookedUp",
    "JobStep",
    "JobSubmitted",
    "LeaseAgent",
    "LeaseEntry",
    "LeaseNotRenewed",
    "LeaseRenewed",
    "LeaseTiming",
    "LeasedJob",
    "ListRuns",
    "ListedEnd",
    "ListedRun",
    "QueryResult",
    "Renewal",
    "ReopenStream",
    "RunKey",
    "SaveEndpoint",
    "SendMessage",
    "StartAnswered",
    "StartResult",
    "StartRun",
    "StopAnswered",
    "StopRun",
    "TaskKey",
    "endpoint_id_of",
    "incarnation_of",
    "is_endpoint_id",
    "is_narrow_link",
]
