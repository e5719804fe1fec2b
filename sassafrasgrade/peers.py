"""Entry hosts known to a process, from its settings and the host list."""

from dataclasses import dataclass

from sassafrasgrade.rendezvous import rank_names
from sassafrasgrade.tables import HostKind

# Number of entry hosts to link to in each other data centre.
LINKS_PER_REMOTE_DATA_CENTRE = 2


@dataclass(frozen=True, slots=True)
class Peer:
    """One entry host: name, data centre and IP address."""

    name: str
    data_centre: str
    address: str

    def __str__(self):
        return f"{self.name}/{self.data_centre}/{self.address}"


def parse_peer(text):
    """Parses ``name/data_centre/address``."""
    return Peer(*text.split("/"))


def merge_peers(settings_peers, hosts):
    """Returns peers by name; those from the settings override the host list.

    Args:
        settings_peers: Texts ``name/data_centre/address``.
        hosts: Hosts of the platform's list; only entry hosts are used.
    """
    peers_by_name = {
        host.name: Peer(host.name, host.data_centre, host.address)
        for host in hosts
        if host.kind is HostKind.ENTRY
    }
    for text in settings_peers:
        peer = parse_peer(text)
        peers_by_name[peer.name] = peer
    return peers_by_name


def choose_links(own_name, own_data_centre, peers_by_name):
    """Returns the peers to link to.

    All of the own data centre and a few of each other one, so that the number
    of links grows with the data centre and not with the fleet.
    """
    chosen = []
    remote_names = {}
    for name, peer in sorted(peers_by_name.items()):
        if name == own_name:
            continue
        if peer.data_centre == own_data_centre:
            chosen.append(peer)
        else:
            remote_names.setdefault(peer.data_centre, []).append(name)
    for names in remote_names.values():
        ranked = rank_names(names, own_name)
        for name in ranked[:LINKS_PER_REMOTE_DATA_CENTRE]:
            chosen.append(peers_by_name[name])
    return chosen
