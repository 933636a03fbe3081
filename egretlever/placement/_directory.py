"""Directory of the servers in the fleet, read from the platform's store."""

import dataclasses
from collections.abc import Iterable

from egretlever.core import (
    Address,
    Incarnation,
    ServerId,
    ServiceName,
    Version,
    find_era,
)
from egretlever.placement._records import HomeServer

# Removals that are remembered, so that delayed older rows have no effect. They
# arrive within seconds, and a large fleet removes some rows a minute.
_MAX_REMOVALS = 4096


class Directory:
    """Index of the known servers by id and by service.

    A row replaces the known row of its server only when its store version is
    higher, so that delayed answers of the store have no effect. Versions of a
    restored store are higher than those of its earlier eras.

    What a restore has lost is still known here until the owner of the row has
    written it again: a server whose row is missing is kept until
    `drop_missing`, and one that was leaving is not taken back.

    Attributes
    ----------
    version : Version
        Highest store version whose changes are all included.
    complete : bool
        Whether the whole table was read at least once.
    revision : int
        Number of changes so far.
    """

    def __init__(self) -> None:
        self.version = Version(0)
        self.complete = False
        self.revision = 0
        self._servers: dict[ServerId, HomeServer] = {}
        self._versions: dict[ServerId, Version] = {}
        self._removals: dict[ServerId, Version] = {}  # the oldest come first
        # Incarnations of removed servers whose last rows said that they leave.
        self._departures: dict[ServerId, Incarnation] = {}
        # Servers whose rows were lost in a restore, or say less since then.
        self._unrecorded: set[ServerId] = set()
        # Those of them whose rows had been removed and came back.
        self._returned: set[ServerId] = set()
        self._services: dict[ServiceName, dict[ServerId, HomeServer]] = {}

    def replace(
        self, rows: Iterable[tuple[HomeServer, Version]], version: Version
    ) -> list[ServerId]:
        """Replace the rows by a full read of the table at a store version.

        Returns
        -------
        list of ServerId
            Servers that were removed.
        """
        found = {row[0].id: row for row in rows}
        absent = [
            server_id for server_id in self._servers if server_id not in found
        ]
        if self.complete and find_era(version) > find_era(self.version):
            self._unrecorded.update(absent)
        removed = [
            server_id
            for server_id in absent
            if not self.is_missing(server_id, version)
            and self.remove(server_id, version)
        ]
        for server, row_version in found.values():
            self.update(server, row_version)
        self.version = max(self.version, version)
        self.complete = True
        return removed

    def update(self, server: HomeServer, version: Version) -> bool:
        """Apply a row; return false when it is not newer than the known one."""
        if self._is_known(server.id, version):
            return False
        self.revision += 1
        old = self._servers.get(server.id)
        returned = old is None or self.has_returned(server.id)
        self._confirm(server.id)
        if self._has_departed(server, version):
            if returned:
                self._returned.add(server.id)
            if returned or not server.draining:
                self._unrecorded.add(server.id)
            server = dataclasses.replace(server, draining=True)
        self._removals.pop(server.id, None)
        self._departures.pop(server.id, None)
        if old is not None and old.service != server.service:
            self._services[old.service].pop(server.id, None)
        self._servers[server.id] = server
        self._versions[server.id] = version
        self._services.setdefault(server.service, {})[server.id] = server
        return True

    def remove(self, server_id: ServerId, version: Version) -> bool:
        """Apply the removal of a row; return whether a server was removed."""
        if self._is_known(server_id, version):
            return False
        server = self._servers.pop(server_id, None)
        self._confirm(server_id)
        self._versions.pop(server_id, None)
        self._removals.pop(server_id, None)
        self._removals[server_id] = version
        if server is not None and server.draining:
            self._departures[server_id] = server.incarnation
        if len(self._removals) > _MAX_REMOVALS:
            oldest = next(iter(self._removals))
            del self._removals[oldest]
            self._departures.pop(oldest, None)
        if server is not None:
            self.revision += 1
            self._services[server.service].pop(server_id, None)
        return server is not None

    def _is_known(self, server_id: ServerId, version: Version) -> bool:
        """Tell whether a version of a row, or a later one, was applied."""
        if find_era(version) < find_era(self.version):
            return True
        known = self._versions.get(server_id)
        if known is None:
            known = self._removals.get(server_id)
        return known is not None and known >= version

    def _confirm(self, server_id: ServerId) -> None:
        """Record that the store has what is known of a server."""
        self._unrecorded.discard(server_id)
        self._returned.discard(server_id)

    def has_returned(self, server_id: ServerId) -> bool:
        """Tell whether the row of a server that has left came back."""
        return server_id in self._returned

    def _has_departed(self, server: HomeServer, version: Version) -> bool:
        """Tell whether a row was last seen leaving, in an earlier era."""
        old = self._servers.get(server.id)
        if old is not None:
            departed = old.incarnation if old.draining else None
            known = self._versions[server.id]
        else:
            departed = self._departures.get(server.id)
            known = self._removals.get(server.id, version)
        return (
            departed is not None
            and server.incarnation <= departed
            and find_era(version) > find_era(known)
        )

    def is_recorded(self, server_id: ServerId) -> bool:
        """Tell whether the store's row of a server says what is known here."""
        return server_id in self._servers and server_id not in self._unrecorded

    def is_missing(
        self, server_id: ServerId, version: Version | None = None
    ) -> bool:
        """Tell whether the row of a known server was lost in a restore.

        Parameters
        ----------
        server_id : ServerId
            The server.
        version : Version, optional
            Store version that is asked about, by default the latest.
        """
        if server_id not in self._unrecorded:
            return False
        era = find_era(self.version if version is None else version)
        return find_era(self._versions[server_id]) < era

    def drop_missing(self, version: Version) -> list[ServerId]:
        """Drop the servers whose rows were not written again.

        Parameters
        ----------
        version : Version
            Store version of the read that has missed them. Nothing is dropped
            when the store was restored once more since.

        Returns
        -------
        list of ServerId
            Servers that were removed.
        """
        if find_era(version) < find_era(self.version):
            return []
        return [
            server_id
            for server_id in list(self._unrecorded)
            if self.is_missing(server_id) and self.remove(server_id, version)
        ]

    def find(self, server_id: ServerId) -> HomeServer | None:
        """Return the server with an id, None when there is none."""
        return self._servers.get(server_id)

    def find_version(self, server_id: ServerId) -> Version:
        """Return the store version of a server's row, 0 when there is none."""
        if self.is_missing(server_id):
            return Version(0)
        return self._versions.get(server_id, Version(0))

    def list_servers(self, service: ServiceName) -> list[HomeServer]:
        """Return the servers of a service that are not draining."""
        servers = self._services.get(service, {}).values()
        return [server for server in servers if not server.draining]

    def list_all(self) -> list[HomeServer]:
        """Return all servers, draining ones included."""
        return list(self._servers.values())

    def list_at(self, relay: Address) -> list[HomeServer]:
        """Return the servers behind the home node at an address."""
        return [
            server for server in self._servers.values() if server.relay == relay
        ]

    def __len__(self) -> int:
        return len(self._servers)
