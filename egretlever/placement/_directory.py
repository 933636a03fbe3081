"""Directory of the servers in the fleet, read from the platform's store."""

from collections.abc import Iterable

from egretlever.core import Address, ServerId, ServiceName, Version
from egretlever.placement._records import HomeServer

# Removals that are remembered, so that delayed older rows have no effect. They
# arrive within seconds, and a large fleet removes some rows a minute.
_MAX_REMOVALS = 4096


class Directory:
    """Index of the known servers by id and by service.

    A row replaces the known row of its server only when its store version is
    higher, so that delayed answers of the store have no effect.

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
        removed = [
            server_id
            for server_id in list(self._servers)
            if server_id not in found and self.remove(server_id, version)
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
        self._removals.pop(server.id, None)
        old = self._servers.get(server.id)
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
        self._versions.pop(server_id, None)
        self._removals.pop(server_id, None)
        self._removals[server_id] = version
        if len(self._removals) > _MAX_REMOVALS:
            del self._removals[next(iter(self._removals))]
        if server is not None:
            self.revision += 1
            self._services[server.service].pop(server_id, None)
        return server is not None

    def _is_known(self, server_id: ServerId, version: Version) -> bool:
        """Tell whether a version of a row, or a later one, was applied."""
        known = self._versions.get(server_id)
        if known is None:
            known = self._removals.get(server_id)
        return known is not None and known >= version

    def find(self, server_id: ServerId) -> HomeServer | None:
        """Return the server with an id, None when there is none."""
        return self._servers.get(server_id)

    def find_version(self, server_id: ServerId) -> Version:
        """Return the store version of a server's row, 0 when there is none."""
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
