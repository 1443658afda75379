"""Which rules an entry decides by."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class EntryRules:
    """The rules of an entry's decisions; all hold, but in experiments.

    An experiment takes one out to learn what callers gain by it.
    """

    #: Jobs go by their latest start; without it by their arrival.
    latest_start_first: bool = True
    #: A job that has begun goes ahead of one that has not.
    begun_first: bool = True
    #: Queues that operators put first go ahead.
    priorities: bool = True
    #: What can't be in time is refused while that is prompt.
    prompt_refusals: bool = True
    #: What is late waits as long as its answer is of use to its client.
    late_answers: bool = True
    #: Where one job would be late, the largest one is that can wait.
    largest_late: bool = True
    #: Refused callers are told when there will be room for them.
    returns_in_order: bool = True
    #: Agents hear how urgent the work is that waits for their room.
    urgency_reports: bool = True
    #: Runs on a slow endpoint are started again elsewhere.
    moves: bool = True
    #: Endpoints that were faster lately come first.
    fast_first: bool = True
    #: What other entries' runs say of an endpoint counts as well.
    shared_evidence: bool = True
    #: Endpoints that go down again and again are used little at first.
    damped_flaps: bool = True
    #: Second tries never exceed a share of the work.
    retry_budget: bool = True
    #: Waiting jobs are handed on to entries that can be in time.
    hands_on: bool = True
