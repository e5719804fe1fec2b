"""The entry's link to its manager, with another manager as fallback."""

import logging

from sassafrasgrade.messages import AnyMessage
from sassafrasgrade.rendezvous import rank_names
from sassafrasgrade.streams import Link

logger = logging.getLogger(__name__)

# After this time without a message from its manager the entry connects to another.
MANAGER_TIMEOUT_S = 3.0


class ManagerLink:
    """Links an entry to its own manager and, while that is unresponsive, to another.

    Args:
        settings: Checked ``Settings``.
        timers: Timer service.
        on_open: Function (link), called after each connect.
        on_message: Function (message).
    """

    def __init__(self, settings, timers, on_open, on_message):
        self._settings = settings
        self._timers = timers
        self._on_open = on_open
        self._on_message = on_message
        self._last_message_at = timers.now()
        self._candidates = []
        self._next_candidate = 0
        self._own_link = self._create(settings.host_address, self._handle_own_message)
        self._fallback_link = None
        self._fallback_started_at = 0.0

    def start(self):
        """Starts connecting to the own manager."""
        self._own_link.start()

    def close(self):
        """Closes all links."""
        self._own_link.close()
        self._close_fallback_link()

    def set_peers(self, peers_by_name):
        """Sets the known entry hosts; fallbacks are those of the own data centre."""
        local = [
            name
            for name, peer in peers_by_name.items()
            if peer.data_centre == self._settings.host_data_centre
            and name != self._settings.host_name
        ]
        ranked = rank_names(local, self._settings.host_name)
        self._candidates = [peers_by_name[name] for name in ranked]

    def send(self, message):
        """Sends to the own manager and to the fallback, if there is one."""
        self._own_link.send(message)
        if self._fallback_link is not None:
            self._fallback_link.send(message)

    def tick(self, now):
        """Connects to a fallback manager while the own one is unresponsive."""
        if now - self._last_message_at <= MANAGER_TIMEOUT_S:
            self._close_fallback_link()
            return
        is_connecting = (
            self._fallback_link is not None
            and now - self._fallback_started_at < MANAGER_TIMEOUT_S
        )
        if is_connecting or (
            self._fallback_link is not None and self._fallback_link.is_open
        ):
            return
        self._close_fallback_link()
        if not self._candidates:
            return
        peer = self._candidates[self._next_candidate % len(self._candidates)]
        self._next_candidate += 1
        logger.warning(
            "own manager is unresponsive; falling back to the one on %s", peer.name
        )
        self._fallback_link = self._create(peer.address, self._on_message)
        self._fallback_started_at = now
        self._fallback_link.start()

    def _create(self, address, on_message):
        return Link(
            address,
            self._settings.manager_stream_port,
            AnyMessage,
            self._on_open,
            on_message,
            lambda: None,
        )

    def _handle_own_message(self, message):
        self._last_message_at = self._timers.now()
        self._on_message(message)

    def _close_fallback_link(self):
        if self._fallback_link is not None:
            self._fallback_link.close()
            self._fallback_link = None
