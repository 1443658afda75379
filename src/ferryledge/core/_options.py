"""Identity and options of entry and agent cores."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Name, incarnation and location of a process."""

    #: Unique in the platform's list of VMs.
    name: str
    #: A new value for each start of the process.
    incarnation: str
    #: The availability zone.
    zone: str
    #: The zones of one region share a scheduler.
    region: str = "main"


@dataclasses.dataclass(frozen=True, slots=True)
class AgentOptions:
    """Limits and timeouts of an agent."""

    #: Maximum number of tasks that run at once.
    slots: int = 8
    #: Maximum number of HTTP connections to the endpoint.
    connections: int = 64
    #: Memory for tasks in MB; 0 means unlimited.
    memory_mb: int = 0
    #: Seconds for which a ticket and its outcome are kept.
    ticket_life_s: float = 900.0
    #: Seconds for which a finished task's result is kept.
    result_retention_s: float = 30.0
    #: Seconds after which a lost scheduler's tickets are settled.
    owner_grace_s: float = 5.0
    #: Seconds without a message to a peer before a keep-alive is sent.
    keepalive_s: float = 15.0
    #: The same while tasks of the peer run here.
    busy_keepalive_s: float = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class EntryOptions:
    """Limits and timeouts of an entry and its scheduler."""

    #: Whether to refuse jobs by quota and by expected wait.
    guards: bool = False
    #: Maximum number of tasks that wait for a slot in one pool.
    max_waiting_tasks: int = 20_000
    #: Maximum number of tasks in a job.
    max_job_tasks: int = 810
    #: Maximum number of endpoints in one pool.
    pool_size: int = 96
    #: Seconds after which a waiting job takes precedence over all others.
    age_bound_s: float = 10.0
    #: Minimum free share of a pool's slots for reporting results together.
    report_together_free: float = 0.25
    #: Load of the pool up to which an entry places jobs itself instead of
    #: sending them to the scheduler; 0 means always to the scheduler.
    direct_load: float = 0.4
    #: Share of the slots of its own endpoints that the entry keeps free then.
    direct_margin: float = 0.2
    #: Seconds for which slots are counted as used by other schedulers after
    #: the endpoint's agent last reported so.
    foreign_slots_hold_s: float = 0.3
    #: Seconds that a peer has to reconnect after its stream breaks.
    reconnect_grace_s: float = 2.0
    #: Seconds without a message, with work outstanding, before a peer is
    #: suspected to have failed.
    silence_s: float = 2.0
    #: Seconds without a message to a peer before a keep-alive is sent.
    keepalive_s: float = 15.0
    #: The same while the stream has work outstanding.
    busy_keepalive_s: float = 0.5
    #: Maximum retry delay in seconds that a refusal asks for.
    max_retry_after_s: float = 30.0
    #: Number of tickets in stock for requests that are not repeatable.
    ticket_stock: int = 32
    #: Whether to run a job at the agent that minted its ticket, if that has
    #: enough free slots.
    run_at_arbiter: bool = True
