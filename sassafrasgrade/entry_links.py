"""Streams between entry hosts: slot messages, heartbeats and liveness."""

import logging

from sassafrasgrade.messages import AnySlotMessage, EntryHeartbeat, EntryHello, PoolLoad
from sassafrasgrade.peers import choose_links
from sassafrasgrade.streams import Link, MessageServer

logger = logging.getLogger(__name__)

# An entry host that sends nothing for longer than this counts as lost.
PEER_TIMEOUT_S = 1.0
# Minimum interval between heartbeats without changed loads.
UNCHANGED_HEARTBEAT_S = 0.4


class EntryPeer:
    """The link to one other entry host, and the last known state of that host."""

    def __init__(self, peer):
        self.peer = peer
        self.link = None
        self.last_seen_at = 0.0
        self.is_alive = False
        self.is_stopping = False


class EntrySession:
    """A stream that another entry host opened to this one."""

    def __init__(self, links, stream):
        self._links = links
        self.stream = stream
        self.name = ""
        self.sent_loads_by_pool = {}
        self.sent_at = 0.0

    def on_message(self, message):
        """Registers the sender at its hello; passes on the rest with its name."""
        if isinstance(message, EntryHello):
            self.name = message.name
            self._links.sessions_by_name[message.name] = self
        elif self.name:
            self._links.on_request(message, self.name)

    def on_close(self):
        """Removes the closed stream."""
        if self._links.sessions_by_name.get(self.name) is self:
            del self._links.sessions_by_name[self.name]


class EntryLinks:
    """Maintains the links to the other entry hosts.

    Each entry host sends its answers and heartbeats on the streams that others
    opened to it. A peer's answers and heartbeats thus arrive on the link to that
    peer, and its requests on the stream that it opened.

    Args:
        settings: Checked ``Settings``.
        timers: Timer service.
        on_request: Function (message, sender name), for requests of other entry
            hosts to this one.
        on_answer: Function (message, sender name), for answers and heartbeats of
            other entry hosts.
        on_change: Called when the set of live entry hosts changed.
        on_lost: Function (name), called when a peer is lost.
    """

    def __init__(self, settings, timers, on_request, on_answer, on_change, on_lost):
        self._settings = settings
        self._timers = timers
        self.on_request = on_request
        self._on_answer = on_answer
        self._on_change = on_change
        self._on_lost = on_lost
        self._peers_by_name = {}
        self.sessions_by_name = {}
        self._loads_by_pool = {}
        self._server = MessageServer(AnySlotMessage, self._accept)

    def start(self):
        """Listens for the other entry hosts."""
        self._server.listen(
            self._settings.entry_stream_port, self._settings.host_address
        )

    def close(self):
        """Closes all streams."""
        self._server.close()
        for entry_peer in self._peers_by_name.values():
            entry_peer.link.close()

    def set_peers(self, peers_by_name):
        """Opens and closes links as the known entry hosts change."""
        chosen = {
            peer.name: peer
            for peer in choose_links(
                self._settings.host_name,
                self._settings.host_data_centre,
                peers_by_name,
            )
        }
        for name in self._peers_by_name.keys() - chosen.keys():
            entry_peer = self._peers_by_name.pop(name)
            entry_peer.link.close()
            self._mark_lost(entry_peer)
        for name in chosen.keys() - self._peers_by_name.keys():
            self._open(chosen[name])

    def live_names(self):
        """Returns the names of the entry hosts of the own data centre in service.

        They are this one and those that are alive and not stopping.
        """
        names = {
            name
            for name, entry_peer in self._peers_by_name.items()
            if entry_peer.is_alive
            and not entry_peer.is_stopping
            and entry_peer.peer.data_centre == self._settings.host_data_centre
        }
        return names | {self._settings.host_name}

    def live_names_by_data_centre(self):
        """Returns the names of linked entry hosts in service by data centre.

        They include this one.
        """
        names = {self._settings.host_data_centre: [self._settings.host_name]}
        for name, entry_peer in self._peers_by_name.items():
            if entry_peer.is_alive and not entry_peer.is_stopping:
                names.setdefault(entry_peer.peer.data_centre, []).append(name)
        return names

    def send(self, name, message):
        """Sends to an entry host over the link to it; returns whether it was up."""
        entry_peer = self._peers_by_name.get(name)
        return entry_peer is not None and entry_peer.link.send(message)

    def answer(self, name, message):
        """Sends to an entry host over the stream that it opened."""
        session = self.sessions_by_name.get(name)
        if session is not None:
            session.stream.send(message)

    def send_heartbeats(self, generation, stopping, loads):
        """Sends a heartbeat with the changed loads to each connected entry host."""
        loads_by_pool = {load.pool: load for load in loads}
        if loads_by_pool == self._loads_by_pool:
            # Keeps the old object: `_changed_loads` recognises by identity the
            # sessions that have sent it.
            loads_by_pool = self._loads_by_pool
        self._loads_by_pool = loads_by_pool
        for session in list(self.sessions_by_name.values()):
            changed = _changed_loads(session.sent_loads_by_pool, loads_by_pool)
            now = self._timers.now()
            if (
                not changed
                and not stopping
                and now - session.sent_at < UNCHANGED_HEARTBEAT_S
            ):
                continue
            session.sent_loads_by_pool = loads_by_pool
            session.sent_at = now
            session.stream.send(
                EntryHeartbeat(
                    self._settings.host_name,
                    self._settings.host_data_centre,
                    generation,
                    stopping,
                    changed,
                )
            )

    def tick(self, now):
        """Marks unresponsive peers as lost."""
        for entry_peer in self._peers_by_name.values():
            if entry_peer.is_alive and now - entry_peer.last_seen_at > PEER_TIMEOUT_S:
                self._mark_lost(entry_peer)

    def _open(self, peer):
        entry_peer = EntryPeer(peer)
        entry_peer.link = Link(
            peer.address,
            self._settings.entry_stream_port,
            AnySlotMessage,
            self._send_hello,
            lambda message: self._receive(entry_peer, message),
            lambda: self._mark_lost(entry_peer),
        )
        self._peers_by_name[peer.name] = entry_peer
        entry_peer.link.start()

    def _send_hello(self, link):
        link.send(EntryHello(self._settings.host_name, self._settings.host_data_centre))

    def _receive(self, entry_peer, message):
        entry_peer.last_seen_at = self._timers.now()
        previous_state = entry_peer.is_alive, entry_peer.is_stopping
        entry_peer.is_alive = True
        if isinstance(message, EntryHeartbeat):
            entry_peer.is_stopping = message.stopping
        self._on_answer(message, entry_peer.peer.name)
        if previous_state != (entry_peer.is_alive, entry_peer.is_stopping):
            logger.info(
                "entry host %s connected, or its stopping state changed",
                entry_peer.peer.name,
            )
            self._on_change()

    def _mark_lost(self, entry_peer):
        if not entry_peer.is_alive:
            return
        entry_peer.is_alive = False
        logger.warning(
            "entry host %s lost: unresponsive, disconnected or removed",
            entry_peer.peer.name,
        )
        self._on_lost(entry_peer.peer.name)
        self._on_change()

    def _accept(self, stream):
        session = EntrySession(self, stream)
        return session.on_message, session.on_close


def _changed_loads(sent, loads_by_pool):
    """Returns the loads to send: changed ones, and empty ones for removed pools."""
    if sent is loads_by_pool:
        return []
    changed = [load for pool, load in loads_by_pool.items() if sent.get(pool) != load]
    gone = [PoolLoad(pool, 0, 0, 0, 0) for pool in sent if pool not in loads_by_pool]
    return changed + gone
