"""Frames of offers whose large bodies follow the other fields uncopied.

Protobuf merges two occurrences of a submessage. An offer is sent as one without
its body and one with the body alone, which earlier releases read as one offer.
"""

import dataclasses

from egretlever.schema import relay_pb2

# Bodies up to this size are part of the frame's message.
MAX_INLINE_BYTES = 65536
_LENGTH_DELIMITED = 2  # wire type
_OFFER_FIELD = relay_pb2.RelayFrame.DESCRIPTOR.fields_by_name["offer"].number
_BODY_FIELD = relay_pb2.Offer.DESCRIPTOR.fields_by_name["body"].number
_OFFER_TAG = bytes([_OFFER_FIELD << 3 | _LENGTH_DELIMITED])
_BODY_TAG = bytes([_BODY_FIELD << 3 | _LENGTH_DELIMITED])
_MAX_VARINT_BYTES = 5  # of a length below 4 GiB


def _encode_varint(value: int) -> bytes:
    encoded = bytearray()
    while value > 0x7F:
        encoded.append(value & 0x7F | 0x80)
        value >>= 7
    encoded.append(value)
    return bytes(encoded)


def _decode_varint(data: bytearray, start: int) -> tuple[int, int] | None:
    """Return a number and the position after it; None when it is cut off."""
    value = 0
    for index in range(_MAX_VARINT_BYTES):
        if start + index >= len(data):
            return None
        byte = data[start + index]
        value |= (byte & 0x7F) << (7 * index)
        if byte < 0x80:
            return value, start + index + 1
    return None


def encode_before_body(frame: relay_pb2.RelayFrame, size: int) -> bytes:
    """Encode a frame of an offer up to its body, which follows.

    Parameters
    ----------
    frame : RelayFrame
        Offer without its body.
    size : int
        Size of the body, in bytes.
    """
    field = _BODY_TAG + _encode_varint(size)
    length = _encode_varint(len(field) + size)
    return frame.SerializeToString() + _OFFER_TAG + length + field


@dataclasses.dataclass(frozen=True, slots=True)
class BodyPlace:
    """Place of a body in a frame.

    Parameters
    ----------
    message_end : int
        Position at which the offer without its body ends.
    body_start : int
        Position at which the body starts.
    """

    message_end: int
    body_start: int


def find_body(data: bytearray, start: int, end: int) -> BodyPlace | None:
    """Find the body that ends a frame, from the first bytes of the frame.

    Parameters
    ----------
    data : bytearray
        Received bytes.
    start, end : int
        Positions at which the frame starts and ends; it may be incomplete.

    Returns
    -------
    BodyPlace or None
        None when the frame has no such body, or too little was received.
    """
    if data[start : start + 1] != _OFFER_TAG:
        return None
    found = _decode_varint(data, start + 1)
    if found is None:
        return None
    message_end = found[0] + found[1]
    if data[message_end : message_end + 1] != _OFFER_TAG:
        return None
    found = _decode_varint(data, message_end + 1)
    if found is None or data[found[1] : found[1] + 1] != _BODY_TAG:
        return None
    found = _decode_varint(data, found[1] + 1)
    if found is None or found[0] + found[1] != end:
        return None
    return BodyPlace(message_end, found[1])
