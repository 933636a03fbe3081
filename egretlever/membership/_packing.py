"""Compressed pages of records, several to a datagram."""

import zlib
from collections.abc import Sequence

from google.protobuf.message import DecodeError
from returns.result import Failure, Result, Success

from egretlever.membership._codec import decode_delta, encode_delta
from egretlever.membership._messages import Drop
from egretlever.membership._records import RecordDelta
from egretlever.schema import gossip_pb2

# A datagram can inflate a thousandfold; a page of honest records does not.
MAX_UNPACKED_BYTES = 65536
_COMPRESSION_LEVEL = 6
_RAW_WINDOW_BITS = -15


class ZlibPacker:
    """Packs records with raw deflate; a `RecordPacker`.

    Examples
    --------
    >>> from egretlever.membership._records import make_delta, NodeRecord
    >>> from egretlever.core import Incarnation, NodeState, Version
    >>> from egretlever.testing import builders
    >>> record = NodeRecord(
    ...     builders.build_header(1),
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
        """Pack as many of the first deltas as fit a size."""
        compressor = zlib.compressobj(
            _COMPRESSION_LEVEL, zlib.DEFLATED, _RAW_WINDOW_BITS
        )
        page = b""
        for count, delta in enumerate(deltas):
            # Concatenated messages decode as one with all their elements.
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
        """Unpack a page; a failure tells why it is dropped."""
        try:
            inflater = zlib.decompressobj(_RAW_WINDOW_BITS)
            data = inflater.decompress(page, MAX_UNPACKED_BYTES)
            if inflater.unconsumed_tail:
                return Failure(Drop.OVERSIZED)
            deltas = gossip_pb2.RecordPage.FromString(data).deltas
            return Success(tuple(decode_delta(delta) for delta in deltas))
        except (zlib.error, DecodeError, ValueError, LookupError):
            return Failure(Drop.MALFORMED)
