"""What a run gives, and the line that sums up several."""

from collections import abc
import dataclasses
import math
import statistics

#: Share of the jobs at the start that is not counted.
WARM_UP = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class RunOutput:
    """One strategy in one run."""

    slowdowns: tuple[float, ...]
    tasks: int
    messages: int = 0
    wasted: int = 0
    refused: int = 0
    failed: int = 0
    double_starts: int = 0
    partial_answers: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """One strategy in one case, over all seeds."""

    case: str
    strategy: str
    seeds: int
    load: float
    slowdown_p50: float
    slowdown_p95: float
    slowdown_p99: float
    slowdown_max: float
    #: Half the width of the 95% interval of p99 over the seeds.
    slowdown_p99_ci: float
    messages_per_task: float
    wasted_per_task: float
    refused: int
    failed: int
    double_starts: int
    partial_answers: int


def percentile(values: abc.Sequence[float], share: float) -> float:
    """Return the value below which a share of the values lies."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _interval(runs: abc.Sequence[RunOutput]) -> float:
    points = [percentile(run.slowdowns, 0.99) for run in runs]
    if len(points) < 2:
        return 0.0
    return 1.96 * statistics.stdev(points) / math.sqrt(len(points))


def summarise(
    case: str, strategy: str, load: float, runs: abc.Sequence[RunOutput]
) -> Result:
    """Return the summary of a strategy's runs in a case."""
    pooled = [one for run in runs for one in run.slowdowns]
    tasks = max(1, sum(run.tasks for run in runs))
    return Result(
        case=case,
        strategy=strategy,
        seeds=len(runs),
        load=load,
        slowdown_p50=round(percentile(pooled, 0.5), 3),
        slowdown_p95=round(percentile(pooled, 0.95), 3),
        slowdown_p99=round(percentile(pooled, 0.99), 3),
        slowdown_max=round(max(pooled, default=0.0), 2),
        slowdown_p99_ci=round(_interval(runs), 3),
        messages_per_task=round(sum(r.messages for r in runs) / tasks, 3),
        wasted_per_task=round(sum(r.wasted for r in runs) / tasks, 4),
        refused=sum(run.refused for run in runs),
        failed=sum(run.failed for run in runs),
        double_starts=sum(run.double_starts for run in runs),
        partial_answers=sum(run.partial_answers for run in runs),
    )
