"""Quotas, admission control, fair shares and retry budgets."""

from ferryledge.limits import _admission
from ferryledge.limits import _fairness
from ferryledge.limits import _quota
from ferryledge.limits import _retry

Admit = _admission.Admit
Refuse = _admission.Refuse
RetryBudget = _retry.RetryBudget
admit = _admission.admit
handicap = _fairness.handicap
QuotaShares = _quota.QuotaShares
Load = _admission.Load
spread_delay = _retry.spread_delay

__all__ = [
    "Admit",
    "Load",
    "QuotaShares",
    "Refuse",
    "RetryBudget",
    "admit",
    "handicap",
    "spread_delay",
]
