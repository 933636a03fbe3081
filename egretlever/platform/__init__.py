"""Clients, header names and data formats of the platform."""

from egretlever.platform import _headers as headers
from egretlever.platform._bounds import Bounds, decode_bounds
from egretlever.platform._configuration import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    decode_configuration,
)
from egretlever.platform._configuration_source import (
    EntryKind,
    SourceEntry,
    read_source_entries,
)
from egretlever.platform._decoding import MAX_NAME_BYTES
from egretlever.platform._eras import StoreEras
from egretlever.platform._heartbeats import (
    MAX_SLOTS,
    decode_departure,
    decode_heartbeat,
    parse_server_path,
)
from egretlever.platform._interfaces import (
    ObjectStore,
    Row,
    StoreError,
    StoreErrorKind,
    TableStore,
)
from egretlever.platform._objects import make_object_store
from egretlever.platform._row_pages import RowPage, StoredRow
from egretlever.platform._rows import RowStore, make_row_store
from egretlever.platform._signals import decode_signals
from egretlever.platform._table import make_table_store

__all__ = [
    "CONFIGURATION_KEY",
    "CONFIGURATION_TABLE",
    "MAX_NAME_BYTES",
    "MAX_SLOTS",
    "Bounds",
    "EntryKind",
    "ObjectStore",
    "Row",
    "RowPage",
    "RowStore",
    "StoreEras",
    "SourceEntry",
    "StoreError",
    "StoreErrorKind",
    "StoredRow",
    "TableStore",
    "decode_bounds",
    "decode_configuration",
    "decode_departure",
    "decode_heartbeat",
    "decode_signals",
    "headers",
    "make_object_store",
    "make_row_store",
    "make_table_store",
    "parse_server_path",
    "read_source_entries",
]
