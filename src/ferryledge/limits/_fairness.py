"""Fair sharing of slots between workspaces.

A workspace that uses more than its fair share of the slots has its waiting
jobs deferred in proportion. This changes only the order of waiting jobs: while
slots are free, no job is held back.
"""


def fair_share_penalty(
    used: int, weight: float, total_weight: float, slots: int
) -> float:
    """Return the factor by which a workspace exceeds its fair share.

    The factor is 1 at or below the share.

    :param used: slots that the workspace uses
    :param weight: the workspace's weight
    :param total_weight: sum of the weights of all workspaces with used slots
    :param slots: slots of the pool
    """
    fair_share = slots * weight / total_weight if total_weight else slots
    if fair_share <= 0:
        return 1.0
    return max(1.0, used / fair_share)
