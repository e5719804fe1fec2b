"""Tracks the loads of each pool's owners and requests slots from them."""

import random
from functools import singledispatchmethod

from sassafrasgrade.messages import SlotCancel, SlotDone, SlotRequest
from sassafrasgrade.systems.owner_selection import OwnerView, choose_owner
from sassafrasgrade.tables import URGENCY_RANKS

MS_PER_S = 1000.0
# Maximum time for which a refusal counts for its whole class, so that no owner is
# asked.
MAX_REFUSAL_VALID_S = 0.1
# Consecutive refusals after which a class is refused without asking an owner.
MIN_CONSECUTIVE_REFUSALS = 3


class SlotRequester:
    """Chooses owners by their last reported loads and sends to them.

    Args:
        settings: Checked ``Settings``.
        timers: Timer service.
        owner: The ``SlotOwner`` of this entry host.
        send: Function (owner name, message) that sends to another entry host
            and returns whether the link was up.
    """

    def __init__(self, settings, timers, owner, send):
        self._name = settings.host_name
        self._data_centre = settings.host_data_centre
        self._timers = timers
        self._owner = owner
        self._send = send
        self._random = random.Random()
        self._views_by_pool = {}
        self._refused_until = {}
        self._consecutive_refusals = {}

    def apply_loads(self, heartbeat):
        """Applies the loads of another entry host's heartbeat."""
        for load in heartbeat.loads:
            views = self._views_by_pool.setdefault(load.pool, {})
            views[heartbeat.name] = OwnerView(
                heartbeat.name,
                False,
                heartbeat.data_centre == self._data_centre,
                load.slots,
                load.free_slots,
                load.step_ms / MS_PER_S,
                {(w.urgency, w.team): w.wait_ms / MS_PER_S for w in load.waits},
            )

    def remove_owner(self, name):
        """Removes a lost entry host."""
        for views in self._views_by_pool.values():
            views.pop(name, None)

    def remove_load(self, name, pool):
        """Removes an owner's load in a pool that it does not serve now."""
        self._views_by_pool.get(pool, {}).pop(name, None)

    def record_refusal(self, owner, route, retry_after_s):
        """Records a refusal; after several in a row the class is refused early."""
        key = class_of(route)
        consecutive = self._consecutive_refusals[key] = (
            self._consecutive_refusals.get(key, 0) + 1
        )
        if consecutive >= MIN_CONSECUTIVE_REFUSALS:
            until = self._timers.now() + min(retry_after_s, MAX_REFUSAL_VALID_S)
            self._refused_until[key] = (until, retry_after_s)

    def record_grant(self, route):
        """Records that an owner granted a slot to a class."""
        self._consecutive_refusals.pop(class_of(route), None)

    def refusal_retry_s(self, route):
        """Returns the Retry-After seconds while a class is refused, else 0."""
        found = self._refused_until.get(class_of(route))
        if found is None or self._timers.now() >= found[0]:
            return 0.0
        return found[1]

    def choose(self, route):
        """Returns the name of the owner to ask for a slot, or None."""
        pool = route.pool
        table = self._owner.table
        now = self._timers.now()
        views = list(self._views_by_pool.get(pool, {}).values())
        if table.serves(pool):
            own = table.load_report(pool, now)
            if own.free_slots and not own.waits_by_class:
                return self._name
            views.append(
                OwnerView(
                    self._name,
                    True,
                    True,
                    own.slots,
                    own.free_slots,
                    own.step_s,
                    own.waits_by_class,
                )
            )
        class_key = URGENCY_RANKS[route.urgency], route.team
        chosen = choose_owner(views, class_key, self._random)
        if chosen is None:
            return None
        chosen.record_request(class_key)
        return chosen.name

    def request_slot(self, owner, request):
        """Sends a slot request; the answer goes to the ``ExchangeRunner``."""
        if owner == self._name:
            self._owner.request(self._name, request)
        else:
            self._send(owner, request)

    def notify_owner(self, owner, message):
        """Sends a ``SlotDone`` or ``SlotCancel`` to an owner."""
        if owner == self._name:
            self.serve(message, self._name)
        else:
            self._send(owner, message)

    @singledispatchmethod
    def serve(self, message, origin):
        """Handles a message to this entry host as the owner."""

    @serve.register
    def _(self, message: SlotRequest, origin):
        self._owner.request(origin, message)

    @serve.register
    def _(self, message: SlotCancel, origin):
        self._owner.cancel(message.request_id)

    @serve.register
    def _(self, message: SlotDone, origin):
        self._owner.finish(message)


def class_of(route):
    """Returns the class of a route: its pool, urgency rank and team."""
    return route.pool, URGENCY_RANKS[route.urgency], route.team
