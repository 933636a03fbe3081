"""Clients of the table service and the object store."""

from egretlever.platform._interfaces import (
    ObjectStore,
    Row,
    StoreError,
    StoreErrorKind,
    TableStore,
)
from egretlever.platform._objects import make_object_store
from egretlever.platform._table import make_table_store

__all__ = [
    "ObjectStore",
    "Row",
    "StoreError",
    "StoreErrorKind",
    "TableStore",
    "make_object_store",
    "make_table_store",
]
