"""Chooses the owner to which a slot request is sent."""

from dataclasses import dataclass, field

# Added to the predicted wait of owners on other hosts, by distance.
PEER_PENALTY_S = 0.001
DATA_CENTRE_PENALTY_S = 0.006
SAMPLED_OWNERS = 2


@dataclass(slots=True)
class OwnerView:
    """What an entry host knows of one owner's servers of one pool.

    Attributes:
        name: Owner's host name.
        is_self: Whether it is this entry host.
        is_local: Whether it is in the same data centre.
        slots: Slots that it may grant in all.
        free_slots: Free slots by its last report, less the requests sent since.
        step_s: Seconds that one more request adds to the wait of its class.
        waits_by_class: Predicted waits in seconds of the classes that queue.
    """

    name: str
    is_self: bool
    is_local: bool
    slots: int
    free_slots: int
    step_s: float
    waits_by_class: dict = field(default_factory=dict)

    def record_request(self, class_key):
        """Updates the predicted wait for a request that is sent to this owner."""
        if self.free_slots > 0:
            self.free_slots -= 1
            return
        wait_s = self.waits_by_class.get(class_key, 0.0)
        self.waits_by_class[class_key] = wait_s + self.step_s

    @property
    def distance_s(self):
        """Wait penalty for the distance to the owner, in seconds."""
        if self.is_self:
            return 0.0
        return PEER_PENALTY_S if self.is_local else DATA_CENTRE_PENALTY_S

    def predict_wait(self, class_key):
        """Returns the predicted wait of a new request of a class, in seconds."""
        if self.free_slots > 0:
            return self.distance_s
        wait_s = self.waits_by_class.get(class_key, 0.0)
        return wait_s + self.step_s + self.distance_s


def choose_owner(views, class_key, random_source):
    """Returns the owner with the shortest predicted wait, or None.

    While slots are free, only the nearest owners with a free slot are
    candidates. The better of two candidates, drawn at random and weighted by
    slots, is chosen: if each took the single best one, entry hosts with the same
    outdated reports would all choose the same owner.

    Args:
        views: ``OwnerView`` of the owners that serve the pool.
        class_key: (urgency, team) of the request.
        random_source: Seeded ``random.Random``.
    """
    usable = [view for view in views if view.slots > 0]
    if not usable:
        return None
    free = [view for view in usable if view.free_slots > 0]
    if free:
        nearest_s = min(view.distance_s for view in free)
        usable = [view for view in free if view.distance_s == nearest_s]
    weights = [max(view.free_slots, 1) if free else view.slots for view in usable]
    drawn = random_source.choices(usable, weights, k=SAMPLED_OWNERS)
    return min(drawn, key=lambda view: view.predict_wait(class_key))
