"""Measures the decisions in virtual time, beside baselines.

``python -m ferryledge.bench`` prints one JSON line for each case and
strategy and writes plots.
"""

from ferryledge.bench import _arrivals
from ferryledge.bench import _baselines
from ferryledge.bench import _cases
from ferryledge.bench import _ideal
from ferryledge.bench import _product
from ferryledge.bench import _results
from ferryledge.bench import _runner

Arrival = _arrivals.Arrival
Case = _cases.Case
CASES = _cases.CASES
Result = _results.Result
RunOutput = _results.RunOutput
Strategy = _runner.Strategy
make_arrivals = _arrivals.make_arrivals
run_baseline = _baselines.run_baseline
run_case = _runner.run_case
run_ablations = _runner.run_ablations
run_ideal = _ideal.run_ideal
run_knob = _runner.run_knob
run_product = _product.run_product

__all__ = [
    "CASES",
    "Arrival",
    "Case",
    "Result",
    "RunOutput",
    "Strategy",
    "make_arrivals",
    "run_ablations",
    "run_baseline",
    "run_case",
    "run_ideal",
    "run_knob",
    "run_product",
]
