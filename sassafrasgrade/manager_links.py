"""The entry's link to its manager, with another manager to fall back on."""

import logging

from sassafrasgrade.messages import AnyMessage
from sassafrasgrade.rendezvous import rank_names
from sassafrasgrade.streams import Link

logger = logging.getLogger(__name__)

# A manager silent for longer than this is stood in for by another one.
SILENCE_S = 3.0


class ManagerLink:
    """Keeps a link to the own manager and, while it is silent, to another.

    Args:
        settings: Checked ``Settings``.
        timers: Timer service.
        greet: Function (link), called after each connect.
        on_message: Function (message).
    """

    def __init__(self, settings, timers, greet, on_message):
        self._settings = settings
        self._timers = timers
        self._greet = greet
        self._on_message = on_message
        self._heard_at = timers.now()
        self._candidates = []
        self._turn = 0
        self._own = self._create(settings.host_address, self._hear_own)
        self._other = None
        self._other_since = 0.0

    def start(self):
        """Starts to connect to the own manager."""
        self._own.start()

    def close(self):
        """Closes all links."""
        self._own.close()
        self._drop_other()

    def set_peers(self, peers_by_name):
        """Takes the entry hosts known; managers of the own data centre stand in."""
        local = [
            name
            for name, peer in peers_by_name.items()
            if peer.data_centre == self._settings.host_data_centre
            and name != self._settings.host_name
        ]
        ranked = rank_names(local, self._settings.host_name)
        self._candidates = [peers_by_name[name] for name in ranked]

    def send(self, message):
        """Sends to the own manager and to the one that stands in for it."""
        self._own.send(message)
        if self._other is not None:
            self._other.send(message)

    def tick(self, now):
        """Falls back on another manager while the own one is silent."""
        if now - self._heard_at <= SILENCE_S:
            self._drop_other()
            return
        waits = self._other is not None and now - self._other_since < SILENCE_S
        if waits or (self._other is not None and self._other.is_open):
            return
        self._drop_other()
        if not self._candidates:
            return
        peer = self._candidates[self._turn % len(self._candidates)]
        self._turn += 1
        logger.warning("own manager is silent; using the one on %s", peer.name)
        self._other = self._create(peer.address, self._on_message)
        self._other_since = now
        self._other.start()

    def _create(self, address, on_message):
        return Link(
            address,
            self._settings.manager_stream_port,
            AnyMessage,
            self._greet,
            on_message,
            lambda: None,
        )

    def _hear_own(self, message):
        self._heard_at = self._timers.now()
        self._on_message(message)

    def _drop_other(self):
        if self._other is not None:
            self._other.close()
            self._other = None
