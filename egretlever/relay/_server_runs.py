"""Requests that run at the server of this host, and their nested calls."""

import dataclasses

from egretlever.core import RequestId, RouteId, Seconds
from egretlever.placement import Offer

# Nested calls arrive some milliseconds after their parent's time left was
# rounded.
_EXPIRY_TOLERANCE = Seconds(0.05)
# Retries of a route are refused for this time after a call of one of them has
# found no budget at the called service.
_PAUSE_TIME = Seconds(1.0)


@dataclasses.dataclass(frozen=True, slots=True)
class _Run:
    """A request that runs at the server.

    Parameters
    ----------
    route : RouteId
        Route of the request.
    repeated : bool
        Whether it is a retry.
    ends_at : Seconds
        Clock time at which the server stops working on it.
    """

    route: RouteId
    repeated: bool
    ends_at: Seconds


class ServerRuns:
    """Tells how likely a call was made by a retried request.

    Calls of a retried request count as retries at the called service, and carry
    no mark. Requests of one route are expected to make the same calls whether
    they are retried or not, so that a call comes from a retried one with the
    share of these among the running requests of their routes. A call expires
    with the request that made it, or sooner.
    """

    def __init__(self) -> None:
        self._runs: dict[RequestId, _Run] = {}
        self._paused_until: dict[RouteId, Seconds] = {}

    def begin(self, offer: Offer, now: Seconds, ends_at: Seconds) -> None:
        """Record that a request is sent to the server.

        Parameters
        ----------
        offer : Offer
            The request.
        now : Seconds
            Current clock time.
        ends_at : Seconds
            Clock time at which the server stops working on it.
        """
        self._expire(now)
        self._runs[offer.request_id] = _Run(
            offer.route, offer.repeated, ends_at
        )

    def end(self, request_id: RequestId) -> None:
        """Record that a request makes no more calls."""
        self._runs.pop(request_id, None)

    def _expire(self, now: Seconds) -> None:
        ended = [
            request_id
            for request_id, run in self._runs.items()
            if now > run.ends_at + _EXPIRY_TOLERANCE
        ]
        for request_id in ended:
            del self._runs[request_id]

    def estimate_retried_share(self, expires_at: Seconds) -> float:
        """Return the probability that a retried request made a call.

        Parameters
        ----------
        expires_at : Seconds
            Clock time at which the call expires.
        """
        callers = self._find_callers(expires_at)
        retried = [run for run in callers if run.repeated]
        if not retried:
            return 0.0
        routes = {run.route for run in retried}
        return len(retried) / sum(run.route in routes for run in callers)

    def _find_callers(self, expires_at: Seconds) -> list[_Run]:
        return [
            run
            for run in self._runs.values()
            if expires_at <= run.ends_at + _EXPIRY_TOLERANCE
        ]

    def pause(self, expires_at: Seconds, now: Seconds) -> None:
        """Refuse further retries whose calls would find no budget.

        Parameters
        ----------
        expires_at : Seconds
            Clock time at which a call expires that has found none.
        now : Seconds
            Current clock time.
        """
        for run in self._find_callers(expires_at):
            if run.repeated:
                self._paused_until[run.route] = Seconds(now + _PAUSE_TIME)

    def is_paused(self, offer: Offer, now: Seconds) -> bool:
        """Tell whether an offer is a retry that is refused for its calls."""
        paused_until = self._paused_until.get(offer.route)
        return (
            offer.repeated and paused_until is not None and now < paused_until
        )
