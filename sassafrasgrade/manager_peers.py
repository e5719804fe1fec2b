"""State of the other managers, and the links to them."""

from sassafrasgrade.messages import AnyMessage, EntryHostStatus
from sassafrasgrade.peers import choose_links, merge_peers
from sassafrasgrade.streams import Link
from sassafrasgrade.systems.platform_readers import NEVER_S, ManagerView


class PeerState:
    """State of another manager, from its heartbeats."""

    def __init__(self, data_centre):
        self.data_centre = data_centre
        self.heartbeat = None
        self.last_heartbeat_at = -NEVER_S

    def record_heartbeat(self, heartbeat, now):
        """Stores a heartbeat."""
        self.heartbeat = heartbeat
        self.last_heartbeat_at = now

    def status(self, name, now, silence_s):
        """Returns the ``EntryHostStatus`` for operators."""
        heartbeat = self.heartbeat
        age_s = now - self.last_heartbeat_at
        return EntryHostStatus(
            name,
            self.data_centre,
            age_s <= silence_s,
            heartbeat.generation,
            heartbeat.entry_generation,
            heartbeat.entry_state,
            heartbeat.reading,
            round(heartbeat.platform_age_s, 3),
            round(age_s, 3),
        )


class PeerTable:
    """States of the other managers by name.

    Args:
        settings: Checked ``Settings``.
    """

    def __init__(self, settings):
        self._data_centre = settings.host_data_centre
        self._silence_s = settings.manager_silence_s
        self._states_by_name = {}

    def add(self, hello):
        """Adds a manager, once its ``Hello`` arrives."""
        self._states_by_name.setdefault(hello.name, PeerState(hello.data_centre))

    def get(self, name):
        """Returns the ``PeerState`` of a manager, or None."""
        return self._states_by_name.get(name)

    def mark_disconnected(self, name):
        """Treats a manager as gone after its stream closed."""
        state = self._states_by_name.get(name)
        if state is not None:
            state.last_heartbeat_at = -NEVER_S

    def is_local(self, state):
        """Whether a manager is in the own data centre."""
        return state.data_centre == self._data_centre

    def local_heartbeats(self, now):
        """Returns the heartbeats of the live managers of the data centre."""
        return [
            state.heartbeat
            for _, state in self._peers_with_heartbeat()
            if self.is_local(state) and now - state.last_heartbeat_at <= self._silence_s
        ]

    def views(self, now):
        """Returns a ``ManagerView`` of each manager of the data centre."""
        return [
            ManagerView(
                name,
                now - state.last_heartbeat_at,
                state.heartbeat.platform_age_s,
                state.heartbeat.reading,
            )
            for name, state in self._peers_with_heartbeat()
            if self.is_local(state)
        ]

    def statuses(self, now):
        """Returns the ``EntryHostStatus`` of each manager with a heartbeat, by name."""
        return [
            state.status(name, now, self._silence_s)
            for name, state in self._peers_with_heartbeat()
        ]

    def _peers_with_heartbeat(self):
        for name, state in sorted(self._states_by_name.items()):
            if state.heartbeat is not None:
                yield name, state


class ManagerLinks:
    """Outgoing links to the other managers.

    Args:
        settings: Checked ``Settings``.
        on_open: Function (link), called after each connect.
        on_message: Function (message, link).
    """

    def __init__(self, settings, on_open, on_message):
        self._settings = settings
        self._on_open = on_open
        self._on_message = on_message
        self._links_by_name = {}
        self.peers_by_name = {}

    @property
    def open_count(self):
        """Number of open links."""
        return sum(link.is_open for link in self._links_by_name.values())

    def update(self, hosts):
        """Opens and closes links to match the known entry hosts."""
        self.update_peers(merge_peers(self._settings.manager_peers, hosts))

    def update_peers(self, peers_by_name):
        """Opens and closes links to match the known managers."""
        self.peers_by_name = peers_by_name
        chosen = {
            peer.name: peer
            for peer in choose_links(
                self._settings.host_name,
                self._settings.host_data_centre,
                self.peers_by_name,
            )
        }
        for name, link in list(self._links_by_name.items()):
            # A replaced entry host may come back at another address.
            if name not in chosen or chosen[name].address != link.address:
                self._links_by_name.pop(name).close()
        for name in chosen.keys() - self._links_by_name.keys():
            self._links_by_name[name] = self._open(chosen[name])

    def close(self):
        """Closes all links."""
        for link in self._links_by_name.values():
            link.close()

    def send(self, message, include_remote=False):
        """Sends to the managers of the data centre, or to all linked ones."""
        for name, link in self._links_by_name.items():
            if include_remote or self._is_local(name):
                link.send(message)

    def _is_local(self, name):
        peer = self.peers_by_name.get(name)
        return peer and peer.data_centre == self._settings.host_data_centre

    def _open(self, peer):
        link = Link(
            peer.address,
            self._settings.manager_stream_port,
            AnyMessage,
            self._on_open,
            lambda message: self._on_message(message, link),
            lambda: None,
        )
        link.start()
        return link
