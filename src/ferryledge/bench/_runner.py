"""Runs strategies over cases and seeds on several processors."""

from collections import abc
import concurrent.futures
import dataclasses
import enum
import os

from ferryledge.bench import _ablations
from ferryledge.bench import _arrivals
from ferryledge.bench import _baselines
from ferryledge.bench import _cases
from ferryledge.bench import _ideal
from ferryledge.bench import _product
from ferryledge.bench import _results
from ferryledge import core


class Strategy(enum.StrEnum):
    """What is compared."""

    IDEAL = "ideal"
    RANDOM = "random"
    LEAST_OUTSTANDING = "least_outstanding"
    BATCH_SAMPLING = "batch_sampling"
    FERRYLEDGE = "ferryledge"


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One strategy on one seed of a case."""

    case: _cases.Case
    strategy: Strategy
    seed: int
    options: core.EntryOptions | None = None
    ablation: _ablations.Ablation = _ablations.Ablation.NONE


def run_once(run: Run) -> _results.RunOutput:
    """Carry out one run."""
    arrivals = _arrivals.make_arrivals(run.case, run.seed)
    match run.strategy:
        case Strategy.IDEAL:
            return _ideal.run_ideal(run.case, arrivals)
        case Strategy.FERRYLEDGE:
            with _ablations.taken_out(run.ablation):
                return _product.run_product(
                    run.case, arrivals, run.seed, run.options
                )
        case _:
            placement = _baselines.Placement(run.strategy)
            return _baselines.run_baseline(
                run.case, placement, arrivals, run.seed
            )


def run_all(
    runs: abc.Sequence[Run], workers: int = 0
) -> list[_results.RunOutput]:
    """Carry out runs side by side; the outputs keep their order."""
    workers = workers or os.cpu_count() or 1
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        return list(pool.map(run_once, runs))


def run_case(
    case: _cases.Case,
    strategies: abc.Sequence[Strategy] = tuple(Strategy),
    seeds: int = 5,
    options: core.EntryOptions | None = None,
) -> list[_results.Result]:
    """Return one result for each strategy."""
    runs = [
        Run(case, strategy, seed, options)
        for strategy in strategies
        for seed in range(1, seeds + 1)
    ]
    outputs = run_all(runs)
    results = []
    for number, strategy in enumerate(strategies):
        chunk = outputs[number * seeds : (number + 1) * seeds]
        results.append(
            _results.summarise(case.name, strategy, case.load, chunk)
        )
    return results


def run_ablations(seeds: int = 5) -> list[_results.Result]:
    """Return a row with and one without each mechanism, case by case."""
    cases = {case.name: case for case in _cases.CASES}
    results = []
    for ablation, names in _ablations.CASES.items():
        for name in names:
            for taken in (_ablations.Ablation.NONE, ablation):
                runs = [
                    Run(
                        cases[name],
                        Strategy.FERRYLEDGE,
                        seed,
                        _ablations.options_for(taken),
                        taken,
                    )
                    for seed in range(1, seeds + 1)
                ]
                label = f"without {taken}" if taken is ablation else "whole"
                results.append(
                    _results.summarise(
                        name, label, cases[name].load, run_all(runs)
                    )
                )
    return results


def run_knob(
    values: abc.Sequence[float], seeds: int = 5
) -> list[_results.Result]:
    """Return a row for each value of ``direct_load`` at load 0.6."""
    case = next(one for one in _cases.CASES if one.name == "load_0.6")
    results = []
    for value in values:
        options = core.EntryOptions(direct_load=value)
        (result,) = run_case(case, (Strategy.FERRYLEDGE,), seeds, options)
        label = f"direct_load {value:g}"
        results.append(dataclasses.replace(result, strategy=label))
    return results
