"""One attempt at the server of a home node, until its answer or deadline."""

from collections.abc import Awaitable, Callable

import curio

from egretlever.home import AttemptLimits, CircuitBreaker, Heartbeat
from egretlever.placement import Failure, FailureReason, Offer
from egretlever.relay._interfaces import ServerRunner
from egretlever.relay._server_client import ServerResult


async def run_attempt(
    runner: ServerRunner,
    server: Heartbeat,
    offer: Offer,
    limits: AttemptLimits,
    circuit_breaker: CircuitBreaker,
    report_overdue: Callable[[], Awaitable[None]],
) -> ServerResult:
    """Run a request at the server until its deadline.

    While an attempt is overdue, the server is doubted. It goes on all the same:
    only the entry node knows whether another server answers the request.

    Parameters
    ----------
    runner : ServerRunner
        Runs the request.
    server : Heartbeat
        Latest heartbeat of the server.
    offer : Offer
        The request.
    limits : AttemptLimits
        Its time limits.
    circuit_breaker : CircuitBreaker
        Circuit breaker of the server.
    report_overdue : callable
        Coroutine function that is called when the attempt becomes overdue.
    """
    task = await curio.spawn(
        runner.exchange, server, offer, limits.left, daemon=True
    )
    try:
        await curio.ignore_after(limits.overdue, task.wait)
        if not task.terminated:
            circuit_breaker.observe_overdue(1)
            try:
                await report_overdue()
                await task.wait()
            finally:
                circuit_breaker.observe_overdue(-1)
        if isinstance(task.exception, curio.CancelledError):
            # The event loop ends, and cancels its tasks in any order.
            return ServerResult(Failure(FailureReason.CUT_OFF), None)
        result: ServerResult = await task.join()
        return result
    finally:
        if not task.terminated:
            await task.cancel()
