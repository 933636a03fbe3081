"""The configuration in force, and the changes that lead to it."""

from collections.abc import Callable
from typing import TypeVar

from returns.result import Failure, Result

from egretlever.core import Version, make_log
from egretlever.placement import Configuration, Customer, Route
from egretlever.platform import StoredRow
from egretlever.relay import _metrics as metrics
from egretlever.relay._changes import Position, TableChange
from egretlever.relay._configuration_rows import (
    LIMITS_KEY,
    decode_entry,
    decode_limits,
    encode_configuration,
    list_entries,
)
from egretlever.schema import logs_pb2
from egretlever.transport import read_clock

_LOG = make_log("store")
_NONE = Version(0)
_Value = TypeVar("_Value")


class ConfigurationHolder:
    """Holds the configuration in force, one row for each route and customer.

    Nodes pass on the rows that differ between two versions, so that a change
    costs what it changes and not the size of the configuration. Rows are
    compared by their encoded values.

    Parameters
    ----------
    configure : callable
        Puts a configuration in force; returns false when it is not newer.

    Attributes
    ----------
    version : Version
        Version in force, 0 before the first one.

    Examples
    --------
    >>> from egretlever.testing.relay_builders import build_configuration
    >>> sender = ConfigurationHolder(lambda configuration: True)
    >>> receiver = ConfigurationHolder(lambda configuration: True)
    >>> change = sender.replace(build_configuration())
    >>> receiver.apply(change) == change
    True
    >>> receiver.version
    7
    """

    def __init__(self, configure: Callable[[Configuration], bool]) -> None:
        self._configure = configure
        self._values: dict[str, bytes] = {}
        self._entries: dict[str, Route | Customer] = {}
        self.version = _NONE

    def replace(self, configuration: Configuration) -> TableChange | None:
        """Put a version in force that was read from the store.

        Returns
        -------
        TableChange or None
            Change from the version before; None when the version is not newer.
        """
        begun = read_clock()
        if configuration.version <= self.version or not self._configure(
            configuration
        ):
            return None
        change = self._replace_values(
            encode_configuration(configuration), configuration.version
        )
        self._entries = list_entries(configuration)
        self._log_in_force(begun, "the store", "", None)
        return change

    def apply(
        self, change: TableChange, source: str = ""
    ) -> TableChange | None:
        """Put a version in force that another node has passed on.

        Parameters
        ----------
        change : TableChange
            The change.
        source : str, default=""
            Relay address of that node, for the log.

        Returns
        -------
        TableChange or None
            Change from the version before, empty when the version is not
            newer; None when the change does not lead from the version in force
            to a valid one.
        """
        if change.version <= self.version:
            return TableChange(self.version, self.version)
        begun = read_clock()
        if change.base not in (_NONE, self.version):
            return None
        values = {} if change.base == _NONE else dict(self._values)
        for row in change.rows:
            if row.removed:
                values.pop(row.key, None)
            else:
                values[row.key] = row.value
        if LIMITS_KEY not in values:
            return None
        entries = self._decode_entries(values)
        limits = _unwrap(decode_limits(values[LIMITS_KEY]), LIMITS_KEY)
        if entries is None or limits is None:
            return None
        configuration = Configuration(
            change.version,
            tuple(one for one in entries.values() if isinstance(one, Route)),
            limits[0],
            tuple(one for one in entries.values() if isinstance(one, Customer)),
            keys_required=limits[1],
        )
        if not self._configure(configuration):
            return None
        effective = self._replace_values(values, change.version)
        self._entries = entries
        self._log_in_force(begun, "another node", source, change.position)
        return effective

    def _decode_entries(
        self, values: dict[str, bytes]
    ) -> dict[str, Route | Customer] | None:
        """Decode rows that differ from those held; None if one is invalid."""
        entries: dict[str, Route | Customer] = {}
        for key, value in values.items():
            if key == LIMITS_KEY:
                continue
            entry = self._entries.get(key)
            if entry is None or self._values[key] != value:
                entry = _unwrap(decode_entry(key, value), key)
            if entry is None:
                return None
            entries[key] = entry
        return entries

    def _replace_values(
        self, values: dict[str, bytes], version: Version
    ) -> TableChange:
        """Hold other rows, and return the change that leads to them."""
        changed = [
            StoredRow(key, value, version)
            for key, value in values.items()
            if self._values.get(key) != value
        ]
        removed = [
            StoredRow(key, b"", version, removed=True)
            for key in self._values
            if key not in values
        ]
        change = TableChange(self.version, version, (*changed, *removed))
        self._values, self.version = values, version
        return change

    def describe(self, known: Version) -> TableChange:
        """Return what a node needs that holds a version.

        Parameters
        ----------
        known : Version
            Version that the node holds, 0 for none.

        Returns
        -------
        TableChange
            All rows, or none when the node holds this version or a newer one.
        """
        if self.version <= known:
            return TableChange(self.version, self.version)
        rows = tuple(
            StoredRow(key, value, self.version)
            for key, value in self._values.items()
        )
        return TableChange(_NONE, self.version, rows)

    def _log_in_force(
        self,
        begun: float,
        source: str,
        address: str,
        position: Position | None,
    ) -> None:
        metrics.CONFIGURATION_VERSION.set(self.version)
        _LOG.event(
            logs_pb2.StateLine(
                event="configuration-in-force",
                subject="config",
                version=f"{self.version:08x}",
                count=len(self._entries),
                took_s=round(read_clock() - begun, 4),
                reason=f"from {source}",
                address=address,
                age_s=0.0
                if position is None
                else round(read_clock() - position.as_of, 4),
                hops=0 if position is None else position.hops + 1,
            )
        )


def _unwrap(result: Result[_Value, str], key: str) -> _Value | None:
    """Return a decoded row; an invalid one is logged."""
    if isinstance(result, Failure):
        _LOG.event(
            logs_pb2.StateLine(
                event="row-refused", subject=key, reason=result.failure()
            )
        )
        return None
    return result.unwrap()
