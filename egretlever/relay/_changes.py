"""What one node has read from the store and sends to others."""

import dataclasses
import enum
from typing import Protocol

from egretlever.core import (
    NO_ERA,
    Seconds,
    StoreEra,
    Version,
    find_era,
    join_version,
)
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
    searching : bool, default=False
        Whether this is no change, but a notice: what the sender knows is too
        old, and it looks for another source.
    store_era : StoreEra, optional
        Newest era of the store that the sender knows.
    whole : bool, default=False
        Whether the rows are all rows of the directory.
    """

    base: Version
    version: Version
    rows: tuple[StoredRow, ...] = ()
    available: bool = True
    position: Position | None = None
    timed: bool = False
    searching: bool = False
    store_era: StoreEra = NO_ERA
    whole: bool = False

    def assume_era(self, era: StoreEra) -> "TableChange":
        """Return the change with an era in versions that name none.

        Nodes of earlier releases send such versions. The base 0 stands for all
        rows in any era.
        """
        if not era or find_era(self.version):
            return self
        return dataclasses.replace(
            self,
            base=join_version(era, self.base) if self.base else self.base,
            version=join_version(era, self.version),
            rows=tuple(
                dataclasses.replace(row, version=join_version(era, row.version))
                for row in self.rows
            ),
        )


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
