"""Logging as JSON lines at a bounded rate."""

from ferryledge.logs import _budget
from ferryledge.logs import _decisions
from ferryledge.logs import _setup

Budget = _budget.Budget
DecisionLog = _decisions.DecisionLog
NonBlockingSink = _budget.NonBlockingSink
configure_logging = _setup.configure_logging
standard_output = _budget.standard_output

__all__ = [
    "Budget",
    "DecisionLog",
    "NonBlockingSink",
    "configure_logging",
    "standard_output",
]
