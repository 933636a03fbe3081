"""Starts attempts over pooled or new connections to backend servers."""

from collections.abc import Callable

from egretlever.core import Attempt, AttemptResult, Server
from egretlever.node._exchange import (
    AttemptLimits,
    AttemptOutcome,
    Exchange,
    make_attempt,
)
from egretlever.node._requests import Request
from egretlever.transport import ConnectError, ConnectionPool, read_clock


class AttemptRunner:
    """Starts attempts over pooled or new connections.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to backend servers.
    report_overdue : callable
        Called with an overdue `Attempt` that still waits for a response.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        report_overdue: Callable[[Attempt], None],
    ) -> None:
        self._pool = pool
        self._report_overdue = report_overdue

    async def start(
        self,
        server: Server,
        request: Request,
        limits: AttemptLimits,
        fresh: bool = False,
    ) -> Exchange | AttemptOutcome:
        """Start an attempt by acquiring a connection.

        Parameters
        ----------
        server : Server
            Server to send the request to.
        request : Request
            The request.
        limits : AttemptLimits
            Deadline and overdue time of the attempt.
        fresh : bool, default=False
            Use a new connection. Orders always do: a pooled connection may be
            dead without a sign, and then the order's outcome would be unknown.

        Returns
        -------
        Exchange or AttemptOutcome
            The exchange to run, or the outcome of a failed connect.
        """
        started_at = read_clock()
        fresh = fresh or request.context.order_key is not None
        try:
            connection = await self._pool.acquire(server.address, fresh)
        except ConnectError as error:
            result = (
                AttemptResult.CONNECT_TIMEOUT
                if error.timed_out
                else AttemptResult.REFUSED
            )
            return AttemptOutcome(
                make_attempt(server, result, started_at, sent=False, fresh=True)
            )
        return Exchange(
            connection,
            server,
            request,
            started_at,
            limits,
            self._report_overdue,
        )

    async def release_connection(
        self, server: Server, outcome: AttemptOutcome
    ) -> None:
        """Return the connection of an ended attempt to the pool or close it."""
        if outcome.attempt.result is AttemptResult.STALE_CONNECTION:
            # Other pooled connections to this server were opened over the same
            # path at about the same time, so they are probably dead as well.
            await self._pool.discard(server.address)
        if outcome.upload_task is not None:
            await outcome.upload_task.cancel()
        if outcome.connection is None:
            return
        if outcome.complete:
            await self._pool.release(server.address, outcome.connection)
        else:
            await outcome.connection.close()
