"""Directory of the servers in the fleet, read from the platform's store."""

from collections.abc import Iterable

from egretlever.core import Address, ServerId, ServiceName, Version
from egretlever.placement._records import HomeServer


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
        self._services: dict[ServiceName, dict[ServerId, HomeServer]] = {}

    def replace(
        self, rows: Iterable[tuple[HomeServer, Version]], version: Version
    ) -> None:
        """Replace the rows by a full read of the table at a store version."""
        found = {row[0].id: row for row in rows}
        for server_id in list(self._servers):
            if server_id not in found and self._versions[server_id] <= version:
                self.remove(server_id, version)
        for server, row_version in found.values():
            self.update(server, row_version)
        self.version = max(self.version, version)
        self.complete = True

    def update(self, server: HomeServer, version: Version) -> bool:
        """Apply a row; return false when it is not newer than the known one."""
        if self._versions.get(server.id, -1) >= version:
            return False
        self.revision += 1
        old = self._servers.get(server.id)
        if old is not None and old.service != server.service:
            self._services[old.service].pop(server.id, None)
        self._servers[server.id] = server
        self._versions[server.id] = version
        self._services.setdefault(server.service, {})[server.id] = server
        return True

    def remove(self, server_id: ServerId, version: Version) -> bool:
        """Apply the removal of a row; return whether a server was removed."""
        if self._versions.get(server_id, -1) >= version:
            return False
        server = self._servers.pop(server_id, None)
        self._versions[server_id] = version
        if server is not None:
            self.revision += 1
            self._services[server.service].pop(server_id, None)
        return server is not None

    def find(self, server_id: ServerId) -> HomeServer | None:
        """Return the server with an id, None when there is none."""
        return self._servers.get(server_id)

    def find_version(self, server_id: ServerId) -> Version:
        """Return the store version of a server's row, 0 when there is none."""
        if server_id not in self._servers:
            return Version(0)
        return self._versions[server_id]

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
