"""Adapter between membership and encoded datagrams."""

from collections.abc import Sequence

from returns.result import Success

from egretlever.core import Address, Seconds
from egretlever.membership._codec import decode_message, encode_message
from egretlever.membership._membership import GossipMembership
from egretlever.membership._messages import Send

Datagram = tuple[Address, bytes]


class DatagramPort:
    """Decodes datagrams for a member and encodes the messages it sends.

    Parameters
    ----------
    member : GossipMembership
        Member that handles the messages and counts undecodable datagrams.
    """

    def __init__(self, member: GossipMembership) -> None:
        self._member = member

    def receive(
        self, data: bytes, sender: Address, now: Seconds
    ) -> list[Datagram]:
        """Handle a datagram; return the datagrams to send."""
        decoded = decode_message(data)
        if isinstance(decoded, Success):
            message = decoded.unwrap()
            return self.encode(self._member.receive(message, sender, now))
        self._member.count_drop(decoded.failure())
        return []

    def advance(self, now: Seconds) -> list[Datagram]:
        """Run the tasks that are due; return the datagrams to send."""
        return self.encode(self._member.advance(now))

    def encode(self, sends: Sequence[Send]) -> list[Datagram]:
        """Encode the messages that a member returned."""
        return [(send.address, encode_message(send.message)) for send in sends]
