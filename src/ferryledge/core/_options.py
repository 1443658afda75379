"""Identity and options of a core."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who a process is."""

    #: Unique in the platform's list of VMs.
    name: str
    #: Differs each time the process starts.
    incarnation: str
    #: The availability zone.
    zone: str
    #: The zones of one region share a scheduler.
    region: str = "main"


@dataclasses.dataclass(frozen=True, slots=True)
class AgentOptions:
    """What an agent may use of its endpoint."""

    #: Tasks that run at once.
    slots: int = 8
    #: HTTP connections to the endpoint.
    connections: int = 64
    #: Memory for tasks in MB; 0 is unlimited.
    memory_mb: int = 0
    #: Seconds for which a ticket and its outcome are kept.
    ticket_life_s: float = 900.0
    #: Seconds for which a finished task's result is kept.
    result_retention_s: float = 30.0
    #: Seconds after which a lost scheduler's tickets are settled.
    owner_grace_s: float = 5.0
    #: Seconds of silence before a keep-alive on a stream.
    keepalive_s: float = 15.0
    #: The same while the peer waits for something.
    busy_keepalive_s: float = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class EntryOptions:
    """How an entry decides."""

    #: Refuse by quota and by expected wait; the brief's "guards".
    guards: bool = False
    #: Most tasks that wait for a slot in one pool.
    max_waiting_tasks: int = 20_000
    #: Most tasks in a job.
    max_job_tasks: int = 810
    #: Endpoints in one pool, at most.
    pool_size: int = 96
    #: Seconds of waiting after which a job may not be passed over.
    age_bound_s: float = 10.0
    #: Share of a pool's slots that must be free to batch reports.
    report_together_free: float = 0.25
    #: Load of the pool up to which an entry places jobs itself instead of
    #: handing them to the scheduler; 0 always hands them over.
    direct_load: float = 0.4
    #: Share of an entry's own endpoints' slots kept free when it does so.
    direct_margin: float = 0.2
    #: Seconds for which another scheduler's use of an endpoint is assumed
    #: to last after it was last heard of.
    foreign_s: float = 0.3
    #: Seconds for which a broken stream may come back.
    reconnect_grace_s: float = 2.0
    #: Seconds of silence with work outstanding before a peer is doubted.
    silence_s: float = 2.0
    #: Seconds of silence before a keep-alive on a stream.
    keepalive_s: float = 15.0
    #: The same while something is outstanding on the stream.
    busy_keepalive_s: float = 0.5
    #: Longest delay in seconds that a refusal asks for.
    max_retry_after_s: float = 30.0
    #: Tickets kept ready for unrepeatable requests.
    ticket_stock: int = 32
    #: Run a job at its ticket's arbiter if it has the slots.
    run_at_arbiter: bool = True
