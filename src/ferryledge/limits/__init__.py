"""Limits: quota shares, admission by expected wait, retry budgets."""

from ferryledge.limits import _admission
from ferryledge.limits import _fairness
from ferryledge.limits import _quota
from ferryledge.limits import _retry

Admit = _admission.Admit
Refuse = _admission.Refuse
RetryBudget = _retry.RetryBudget
admit = _admission.admit
fair_share_penalty = _fairness.fair_share_penalty
QuotaShares = _quota.QuotaShares
Load = _admission.Load
jittered_delay = _retry.jittered_delay

__all__ = [
    "Admit",
    "Load",
    "QuotaShares",
    "Refuse",
    "RetryBudget",
    "admit",
    "fair_share_penalty",
    "jittered_delay",
]
