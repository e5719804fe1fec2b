"""Records of live nodes and of their leader, as the store holds them."""

import logging
from typing import Annotated

import msgspec
from msgspec import Meta

from sassafrasgrade.errors import DECODE_ERRORS
from sassafrasgrade.platform.messages import PORT_PATTERN, Quantity, Whole

logger = logging.getLogger(__name__)

OWN_PREFIX = "own/"
LEADER_KEY = "own/leader"
NODES_PREFIX = "own/nodes/"
# Number of the last leadership; remains after the leader's key is deleted.
EPOCH_KEY = "own/epoch"
# Written when a leader needs a revision above that of its own key.
FENCE_KEY = "own/fence"

# Address of a node's streams: what its settings name it, and a port.
StreamAddress = Annotated[str, Meta(pattern=rf"\A\S+:{PORT_PATTERN}\Z")]
# Rest of an authority, in seconds.
LeftSeconds = Annotated[float, Meta(ge=0.0, le=3600.0)]


class NodeRecord(msgspec.Struct, frozen=True, array_like=True):
    """A live node.

    Attributes:
        name: Its name.
        incarnation: Identifier of its process.
        address: Address of its streams.
        cores: Cores times core speed.
        link_mbps: Bandwidth of its network link; 0 if unknown.
    """

    name: str
    incarnation: str
    address: StreamAddress
    cores: Quantity
    link_mbps: Quantity = 0.0


class LeaderRecord(msgspec.Struct, frozen=True, array_like=True):
    """The current leader.

    Attributes:
        name: Name of its node.
        incarnation: Identifier of its process.
        address: Address of its streams.
        epoch: Number of leaderships so far.
        earlier_left_s: Longest time for which an earlier leader may still have had
            authority when this one took over, in seconds.
        bounds_leases: Whether the leases that it gives end with its authority, unless
            most nodes report an outage of the store. Leaders of earlier versions do
            not say.
    """

    name: str
    incarnation: str
    address: StreamAddress
    epoch: Whole
    earlier_left_s: LeftSeconds = 0.0
    bounds_leases: bool = False


_node_decoder = msgspec.msgpack.Decoder(NodeRecord)
_leader_decoder = msgspec.msgpack.Decoder(LeaderRecord)
_epoch_decoder = msgspec.json.Decoder(Whole)
encode_record = msgspec.msgpack.Encoder().encode


def decode_node(item):
    """Returns the ``NodeRecord`` of an item; None if deleted or unreadable."""
    return _decode(_node_decoder, item)


def decode_leader(item):
    """Returns the ``LeaderRecord`` of an item; None if deleted or unreadable."""
    return _decode(_leader_decoder, item)


def decode_epoch(item):
    """Returns the epoch of an item; 0 if it is unreadable."""
    return _decode(_epoch_decoder, item) or 0


def _decode(decoder, item):
    if item.value is None:
        return None
    try:
        return decoder.decode(item.value)
    except DECODE_ERRORS as error:
        logger.warning(
            "node or leader record cannot be decoded",
            extra={"key": item.key, "error": str(error)},
        )
        return None
