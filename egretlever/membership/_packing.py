"""Compressed pages, each with the deltas of several records."""

import zlib
from collections.abc import Sequence

from google.protobuf.message import DecodeError
from returns.result import Failure, Result, Success

from egretlever.membership._codec import decode_delta, encode_delta
from egretlever.membership._messages import Drop
from egretlever.membership._records import RecordDelta
from egretlever.schema import gossip_pb2

# Limits decompression: deflate can expand about a thousandfold, which pages
# of real records do not.
MAX_UNPACKED_BYTES = 65536
_COMPRESSION_LEVEL = 6
_RAW_WINDOW_BITS = -15


class ZlibPacker:
    """`RecordPacker` that uses raw deflate.

    Examples
    --------
    >>> from egretlever.membership._records import make_delta, NodeRecord
    >>> from egretlever.core import Incarnation, NodeState, Version
    >>> from egretlever.testing import builders
    >>> record = NodeRecord(
    ...     builders.build_node_header(1),
    ...     Incarnation(1),
    ...     Version(1),
    ...     NodeState.ALIVE,
    ...     {},
    ... )
    >>> delta = make_delta(record, Version(0))
    >>> page, count = ZlibPacker().pack([delta], 1000)
    >>> count, ZlibPacker().unpack(page).unwrap() == (delta,)
    (1, True)
    """

    def pack(
        self, deltas: Sequence[RecordDelta], limit: int
    ) -> tuple[bytes, int]:
        """Pack the leading deltas that fit into ``limit`` bytes."""
        compressor = zlib.compressobj(
            _COMPRESSION_LEVEL, zlib.DEFLATED, _RAW_WINDOW_BITS
        )
        page = b""
        for count, delta in enumerate(deltas):
            # Concatenated protobuf messages decode as one message with the
            # elements of all.
            single = gossip_pb2.RecordPage(deltas=[encode_delta(delta)])
            candidate = compressor.copy()
            part = candidate.compress(single.SerializeToString())
            part += candidate.flush(zlib.Z_SYNC_FLUSH)
            if len(page) + len(part) > limit:
                return page, count
            page += part
            compressor = candidate
        return page, len(deltas)

    def unpack(self, page: bytes) -> Result[tuple[RecordDelta, ...], Drop]:
        """Unpack a page; a failure holds the reason to drop it."""
        try:
            inflater = zlib.decompressobj(_RAW_WINDOW_BITS)
            data = inflater.decompress(page, MAX_UNPACKED_BYTES)
            if inflater.unconsumed_tail:
                return Failure(Drop.OVERSIZED)
            deltas = gossip_pb2.RecordPage.FromString(data).deltas
            return Success(tuple(decode_delta(delta) for delta in deltas))
        except (zlib.error, DecodeError, ValueError, LookupError):
            return Failure(Drop.MALFORMED)
