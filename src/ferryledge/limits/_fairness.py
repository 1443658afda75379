"""Fairness between teams while slots are short.

A team that uses more than its share of the slots has its new jobs weighed
less, in proportion. Nothing is held back while slots are free.
"""


def handicap(
    used: int, weight: float, total_weight: float, slots: int
) -> float:
    """Return by how much a team's jobs are weighed less; 1 is not at all.

    :param used: slots that the team uses now
    :param weight: the team's weight
    :param total_weight: the weights of all teams that use slots
    :param slots: slots of the pool
    """
    fair = slots * weight / total_weight if total_weight else slots
    if fair <= 0:
        return 1.0
    return max(1.0, used / fair)
