"""Canonical serialization of protobuf messages.

protobuf does not guarantee that its serialization stays the same between
releases, even in its deterministic mode. Digests need stable bytes, so this
module writes them: valid protobuf wire format with fields ordered by number,
without default values and without negative zero.
"""

import functools
import struct
from collections.abc import Callable
from typing import Any

from google.protobuf import descriptor, message

_VARINT_TYPES = frozenset(
    {
        descriptor.FieldDescriptor.TYPE_BOOL,
        descriptor.FieldDescriptor.TYPE_ENUM,
        descriptor.FieldDescriptor.TYPE_UINT32,
        descriptor.FieldDescriptor.TYPE_UINT64,
    }
)
_VARINT, _FIXED64, _LENGTH = 0, 1, 2

_Writer = Callable[[Any], bytes]


def encode_varint(value: int) -> bytes:
    """Encode a non-negative integer as a base-128 varint.

    Examples
    --------
    >>> encode_varint(300).hex()
    'ac02'
    """
    parts = bytearray()
    while value > 0x7F:
        parts.append(value & 0x7F | 0x80)
        value >>= 7
    parts.append(value)
    return bytes(parts)


def encode_length_delimited(number: int, body: bytes) -> bytes:
    """Encode a length-delimited field.

    Examples
    --------
    >>> encode_length_delimited(2, b"ab").hex()
    '12026162'
    """
    return (
        encode_varint(number << 3 | _LENGTH) + encode_varint(len(body)) + body
    )


def encode_canonical(source: message.Message) -> bytes:
    """Encode a message into its canonical bytes.

    Parameters
    ----------
    source : Message
        Message of strings, integers, booleans, enums, doubles and messages.

    Returns
    -------
    bytes
        Bytes that any protobuf library parses into an equal message. Unknown
        fields are omitted.

    Raises
    ------
    TypeError
        If the message has a field of another type.
    """
    parts: list[bytes] = []
    for name, repeated, write in _make_writers(source.DESCRIPTOR):
        value = getattr(source, name)
        if repeated:
            parts.extend(write(item) for item in value)
        elif value:
            parts.append(write(value))
    return b"".join(parts)


@functools.cache
def _make_writers(
    message_type: descriptor.Descriptor,
) -> tuple[tuple[str, bool, _Writer], ...]:
    fields = sorted(message_type.fields, key=lambda field: field.number)
    return tuple(
        (field.name, field.is_repeated, _make_writer(field)) for field in fields
    )


def _make_writer(field: descriptor.FieldDescriptor) -> _Writer:
    def make_tag(wire_type: int) -> bytes:
        return encode_varint(field.number << 3 | wire_type)

    if field.type == field.TYPE_STRING:
        tag = make_tag(_LENGTH)

        def write_text(value: str) -> bytes:
            body = value.encode()
            return tag + encode_varint(len(body)) + body

        return write_text
    if field.type in _VARINT_TYPES and not field.is_repeated:
        tag = make_tag(_VARINT)
        return lambda value: tag + encode_varint(int(value))
    if field.type == field.TYPE_DOUBLE and not field.is_repeated:
        tag = make_tag(_FIXED64)
        return lambda value: tag + struct.pack("<d", value)
    if field.type == field.TYPE_MESSAGE and field.is_repeated:
        return lambda value: encode_length_delimited(
            field.number, encode_canonical(value)
        )
    raise TypeError(f"field {field.full_name} has no canonical encoding")
