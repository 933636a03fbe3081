"""Attempts over kept or new connections to backend servers."""

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
    """Runs attempts over kept or new connections.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to backend servers.
    report_overdue : callable
        Called with an overdue `Attempt` while it still waits.
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
        """Begin an attempt by taking a connection.

        Parameters
        ----------
        server : Server
            Server to try.
        request : Request
            The request.
        limits : AttemptLimits
            Times of the attempt.
        fresh : bool, default=False
            Use a new connection. Orders always do: a kept connection may have
            gone silent, and its loss would leave the order unknown.

        Returns
        -------
        Exchange or AttemptOutcome
            The exchange to run, or the end of an attempt that did not connect.
        """
        began = read_clock()
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
                make_attempt(server, result, began, sent=False, fresh=True)
            )
        return Exchange(
            connection, server, request, began, limits, self._report_overdue
        )

    async def settle(self, server: Server, outcome: AttemptOutcome) -> None:
        """Keep or close the connection of an ended attempt."""
        if outcome.attempt.result is AttemptResult.STALE_CONNECTION:
            # Connections opened through the same path at the same time are
            # likely to be lost as well.
            await self._pool.discard(server.address)
        if outcome.uploader is not None:
            await outcome.uploader.cancel()
        if outcome.connection is None:
            return
        if outcome.whole:
            await self._pool.release(server.address, outcome.connection)
        else:
            await outcome.connection.close()
