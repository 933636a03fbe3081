"""Pool of idle connections to backend servers."""

from egretlever.core import Address, Seconds
from egretlever.transport._backends import BackendConnection
from egretlever.transport._faults import NO_FAULTS, FaultInjector
from egretlever.transport._sockets import open_connection, read_clock


class ConnectionPool:
    """Keeps idle connections by address and opens new ones.

    Parameters
    ----------
    connect_timeout : Seconds
        Timeout of establishing a connection.
    idle_timeout : Seconds
        Idle time after which a connection is closed.
    limit : int
        Maximum number of idle connections per address.
    faults : FaultInjector, optional
        Link faults injected by tests.
    keepalive : bool, default=False
        Whether to enable TCP keepalive.
    """

    def __init__(
        self,
        connect_timeout: Seconds,
        idle_timeout: Seconds,
        limit: int,
        faults: FaultInjector = NO_FAULTS,
        keepalive: bool = False,
    ) -> None:
        self._connect_timeout = connect_timeout
        self._idle_timeout = idle_timeout
        self._limit = limit
        self._faults = faults
        self._keepalive = keepalive
        self._idle: dict[Address, list[BackendConnection]] = {}

    async def acquire(
        self, address: Address, fresh: bool = False
    ) -> BackendConnection:
        """Reuse an idle connection or open a new one.

        Parameters
        ----------
        address : Address
            Address of the backend server.
        fresh : bool, default=False
            Open a new connection even when an idle one exists.

        Raises
        ------
        ConnectError
            When the connection cannot be established.
        """
        while not fresh and (idle := self._idle.get(address)):
            connection = idle.pop()
            age = read_clock() - connection.idle_since
            if age < self._idle_timeout and connection.is_usable():
                return connection
            await connection.close()
        sock = await open_connection(
            address, self._connect_timeout, self._faults, self._keepalive
        )
        return BackendConnection(sock)

    async def release(
        self, address: Address, connection: BackendConnection
    ) -> None:
        """Return a connection after an exchange; close it if not reusable."""
        idle = self._idle.setdefault(address, [])
        if len(idle) < self._limit and connection.prepare_next():
            idle.append(connection)
        else:
            await connection.close()

    async def discard(self, address: Address) -> int:
        """Close all idle connections to an address.

        Returns
        -------
        int
            Number of closed connections.
        """
        idle = self._idle.pop(address, [])
        for connection in idle:
            await connection.close()
        return len(idle)

    async def expire(self, now: Seconds) -> None:
        """Close connections that have been idle for too long."""
        for address in list(self._idle):
            kept = []
            for connection in self._idle[address]:
                if now - connection.idle_since < self._idle_timeout:
                    kept.append(connection)
                else:
                    await connection.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    async def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            await self.discard(address)
