"""One attempt at the server of a home node, until its answer or a limit."""

from collections.abc import Callable

import curio

from egretlever.home import AttemptLimits, CircuitBreaker, Heartbeat
from egretlever.placement import Answer, Failure, FailureReason, Offer, Reply
from egretlever.relay._interfaces import ServerRunner
from egretlever.relay._server_client import ServerResult

_DEADLINE_PASSED = 504  # status of a server that stopped at the deadline


def is_stopped_at_deadline(reply: Reply) -> bool:
    """Tell whether the server itself gave up at the deadline."""
    return isinstance(reply, Answer) and reply.status == _DEADLINE_PASSED


def is_unanswered(reply: Reply) -> bool:
    """Tell whether the server was still at work at the end of its time."""
    if isinstance(reply, Failure):
        return reply.reason is FailureReason.OVERDUE
    return is_stopped_at_deadline(reply)


async def run_attempt(
    runner: ServerRunner,
    server: Heartbeat,
    offer: Offer,
    limits: AttemptLimits,
    circuit_breaker: CircuitBreaker,
    has_budget: Callable[[], bool],
) -> ServerResult:
    """Run a request at the server; while it is overdue, the server is doubted.

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
    has_budget : callable
        Tells whether the retry budget allows another attempt.
    """
    task = await curio.spawn(
        runner.exchange, server, offer, limits.left, daemon=True
    )
    try:
        await curio.ignore_after(limits.overdue, task.wait)
        if not task.terminated:
            if limits.may_be_cut and has_budget():
                return ServerResult(Failure(FailureReason.OVERDUE), False)
            circuit_breaker.observe_overdue(1)
            try:
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
