"""What one node has read from the store and sends to others."""

import dataclasses
import enum
from typing import Protocol

from egretlever.core import Seconds, Version
from egretlever.platform import StoredRow


class SharedTable(enum.Enum):
    """Table whose changes nodes pass on to each other."""

    DIRECTORY = "directory"
    CONFIGURATION = "configuration"


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """Point in time up to which a node knows the changes of a table.

    Parameters
    ----------
    as_of : Seconds
        Clock time of this node at which nothing newer was in the store.
    hops : int
        Nodes between the store and this one, 0 at the node that reads it.
    """

    as_of: Seconds
    hops: int


@dataclasses.dataclass(frozen=True, slots=True)
class TableChange:
    """Rows of a table that have changed between two versions.

    The versions of the directory are those of the store, the versions of the
    configuration those of the operator.

    Parameters
    ----------
    base : Version
        Version after which the changes begin; 0 when all rows are included.
    version : Version
        Version up to which they are complete.
    rows : tuple of StoredRow
        Changed rows, in order.
    available : bool, default=True
        Whether the sender gets the changes of the table. When it doesn't, it
        has none to send until further notice.
    position : Position, optional
        Up to when the sender knows the changes, when it tells that.
    timed : bool, default=False
        Whether the sender tells positions. Nodes of earlier releases do not.
    """

    base: Version
    version: Version
    rows: tuple[StoredRow, ...] = ()
    available: bool = True
    position: Position | None = None
    timed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Handover:
    """All that a node needs from the store in order to serve.

    Parameters
    ----------
    configuration : TableChange
        All rows of the configuration in force.
    directory : TableChange
        All rows of the directory.
    """

    configuration: TableChange
    directory: TableChange


class ChangeSubscriber(Protocol):
    """Sends changes to a node that follows this one."""

    async def send_change(
        self, table: SharedTable, change: TableChange
    ) -> None:
        """Send a change of a table; it may be lost with its connection."""
        ...
