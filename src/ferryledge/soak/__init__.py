"""A randomized soak of the real programs as separate processes.

Faults come from outside the programs: a proxy between them, signals, the
stand-ins for the store and the endpoints. What must hold is judged by what
clients and endpoints see.
"""

from ferryledge.soak import _judge
from ferryledge.soak import _plan
from ferryledge.soak import _run

Finding = _judge.Finding
Plan = _plan.Plan
Report = _run.Report
make_plan = _plan.make_plan
play = _run.play

__all__ = ["Finding", "Plan", "Report", "make_plan", "play"]
