"""Chooses the owner that a slot request goes to."""

from dataclasses import dataclass

# Added to the predicted wait of an owner elsewhere, in seconds.
PEER_PENALTY_S = 0.001
DATA_CENTRE_PENALTY_S = 0.006


@dataclass(slots=True)
class OwnerView:
    """What an entry host knows of one owner's servers of one pool.

    Attributes:
        name: Owner's host name.
        is_self: Whether it is this entry host.
        is_local: Whether it is in the same data centre.
        slots: Slots that it owns.
        free_slots: Free slots by its last report, less what was asked since.
        queue_delay_s: Predicted wait when no slot is free.
    """

    name: str
    is_self: bool
    is_local: bool
    slots: int
    free_slots: int
    queue_delay_s: float


def rank_owner(view):
    """Returns the predicted wait in seconds; the smallest is asked first."""
    wait_s = 0.0 if view.free_slots > 0 else view.queue_delay_s
    if view.is_self:
        return wait_s
    if view.is_local:
        return wait_s + PEER_PENALTY_S
    return wait_s + DATA_CENTRE_PENALTY_S


def choose_owner(views, random_source):
    """Returns the owner with the shortest predicted wait, or None.

    Among equally good ones the choice is random by slots, so that entry hosts
    with the same news do not all ask the same owner.

    Args:
        views: ``OwnerView`` of the owners that serve the pool.
        random_source: Seeded ``random.Random``.
    """
    usable = [view for view in views if view.slots > 0]
    if not usable:
        return None
    best_s = min(rank_owner(view) for view in usable)
    best = [view for view in usable if rank_owner(view) <= best_s + PEER_PENALTY_S / 2]
    if len(best) == 1:
        return best[0]
    weights = [max(view.free_slots, 1) for view in best]
    return random_source.choices(best, weights)[0]
