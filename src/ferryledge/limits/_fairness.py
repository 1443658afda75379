"""Fairness between workspaces while slots are short.

A workspace that uses more than its share of the slots has its new jobs weighed
less, in proportion. Nothing is held back while slots are free.
"""


def fair_share_penalty(
    used: int, weight: float, total_weight: float, slots: int
) -> float:
    """Return by how much a workspace's jobs are weighed less; 1 is not at all.

    :param used: slots that the workspace uses now
    :param weight: the workspace's weight
    :param total_weight: the weights of all workspaces that use slots
    :param slots: slots of the pool
    """
    fair = slots * weight / total_weight if total_weight else slots
    if fair <= 0:
        return 1.0
    return max(1.0, used / fair)
