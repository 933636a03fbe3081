"""What one node has read from the store and sends to others."""

import dataclasses
from typing import Protocol

from egretlever.core import Version
from egretlever.platform import StoredRow


@dataclasses.dataclass(frozen=True, slots=True)
class TableChange:
    """Rows of a table that have changed between two store versions.

    Parameters
    ----------
    base : Version
        Store version after which the changes begin.
    version : Version
        Store version up to which they are complete.
    rows : tuple of StoredRow
        Changed rows, in order.
    available : bool, default=True
        Whether the sender can read the store. When it can't, it has no changes
        to send until further notice.
    """

    base: Version
    version: Version
    rows: tuple[StoredRow, ...] = ()
    available: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Handover:
    """All that a node needs from the store in order to serve.

    Parameters
    ----------
    configuration : bytes
        Configuration in force, as stored.
    directory : TableChange
        All rows of the directory.
    """

    configuration: bytes
    directory: TableChange


class ChangeSubscriber(Protocol):
    """Sends changes to a node that follows this one."""

    async def send_change(self, change: TableChange) -> None:
        """Send a change; it may be lost with its connection."""
        ...
