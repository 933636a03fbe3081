"""Clients of the table service and the object store."""

from egretlever.platform._interfaces import (
    ObjectStore,
    Row,
    StoreError,
    StoreErrorKind,
    TableStore,
)

__all__ = ["ObjectStore", "Row", "StoreError", "StoreErrorKind", "TableStore"]
