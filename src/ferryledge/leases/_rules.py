"""Rules of an entry's scheduling decisions."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class EntryRules:
    """Switches for the scheduling rules of an entry.

    All rules are on by default. Experiments turn single rules off to
    measure their effect.
    """

    #: Rank jobs by their latest start; otherwise by their arrival.
    latest_start_first: bool = True
    #: Rank jobs that are dispatched ahead of those that are not.
    begun_first: bool = True
    #: Rank jobs by the priority of their queue.
    priorities: bool = True
    #: Refuse early the jobs that can't meet their objective.
    prompt_refusals: bool = True
    #: Keep late jobs as long as their answer is useful.
    late_answers: bool = True
    #: Defer the largest job that can wait if a job would be late.
    largest_late: bool = True
    #: Schedule the retries of refused clients by forecast capacity.
    returns_in_order: bool = True
    #: Report the urgency of waiting jobs to agents.
    urgency_reports: bool = True
    #: Move runs off slow endpoints.
    moves: bool = True
    #: Prefer endpoints that were faster recently.
    fast_first: bool = True
    #: Use the failure rates that other entries saw at an endpoint.
    shared_evidence: bool = True
    #: Use endpoints that fail repeatedly only in part after each recovery.
    damped_flaps: bool = True
    #: Limit retries to a share of all starts.
    retry_budget: bool = True
    #: Hand waiting jobs over to entries that can serve them on time.
    hands_on: bool = True
    #: Start no job that another entry runs.
    detects_duplicates: bool = True
    #: Register jobs with other entries before they are started, where an agent
    #: may not serve all entries.
    registers_jobs: bool = True
