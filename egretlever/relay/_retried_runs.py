"""Retried requests that run at the server of this host, and their calls."""

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
    ends_at : Seconds
        Clock time at which the server stops working on it.
    """

    route: RouteId
    ends_at: Seconds


class RetriedRuns:
    """Finds the nested calls of retried requests, which carry no mark.

    Calls of a retried request count as retries at the called service. They are
    told by their time: they begin while the request runs and expire with it, or
    sooner.
    """

    def __init__(self) -> None:
        self._runs: dict[RequestId, _Run] = {}
        self._paused_until: dict[RouteId, Seconds] = {}

    def begin(self, offer: Offer, now: Seconds, ends_at: Seconds) -> None:
        """Record that a retried request, or a call of one, is sent.

        Parameters
        ----------
        offer : Offer
            The request.
        now : Seconds
            Current clock time.
        ends_at : Seconds
            Clock time at which the server stops working on it.
        """
        self._runs = {
            request_id: run
            for request_id, run in self._runs.items()
            if now <= run.ends_at + _EXPIRY_TOLERANCE
        }
        self._runs[offer.request_id] = _Run(offer.route, ends_at)

    def end(self, request_id: RequestId) -> None:
        """Record that a request makes no more calls."""
        self._runs.pop(request_id, None)

    def may_have_made(self, expires_at: Seconds) -> bool:
        """Tell whether a call that expires at a time may come from a run."""
        return bool(self._find_callers(expires_at))

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
            self._paused_until[run.route] = Seconds(now + _PAUSE_TIME)

    def is_paused(self, offer: Offer, now: Seconds) -> bool:
        """Tell whether an offer is a retry that is refused for its calls."""
        paused_until = self._paused_until.get(offer.route)
        return (
            offer.repeated and paused_until is not None and now < paused_until
        )
