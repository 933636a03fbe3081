"""Time limits of an attempt at a server."""

import dataclasses

from egretlever.core import Seconds
from egretlever.placement import Offer, ServiceTime

# A request is overdue after this multiple of its route's mean service time.
# Fewer than one in a hundred healthy requests takes longer.
_OVERDUE_FACTOR = 6.0
_MIN_OVERDUE = Seconds(0.4)
# Share of the remaining time that a request may take on a route without a known
# service time. The service times of other routes are poor predictors for it.
_UNKNOWN_ROUTE_SHARE = 0.25
# Largest share of the remaining time that such a request may take because it
# usually does at other servers: a retry needs the rest.
_MAX_ROUTE_SHARE = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptLimits:
    """Time limits of one attempt.

    Parameters
    ----------
    left : Seconds
        Time until the request's deadline.
    overdue : Seconds
        Time after which the attempt is overdue, so that a retry is sought; it
        may exceed `left`.
    """

    left: Seconds
    overdue: Seconds

    @property
    def judges_server(self) -> bool:
        """Whether the request has time enough to show a fault of the server."""
        return self.overdue < self.left


def make_attempt_limits(
    offer: Offer, left: Seconds, time: ServiceTime, service_time: Seconds
) -> AttemptLimits:
    """Decide on the time limits of an attempt.

    Parameters
    ----------
    offer : Offer
        The request.
    left : Seconds
        Time until its deadline.
    time : ServiceTime
        Service time of its route at this server.
    service_time : Seconds
        Mean service time of all routes at this server.
    """
    return AttemptLimits(
        left, _find_overdue_time(offer, left, time, service_time)
    )


def _find_overdue_time(
    offer: Offer, left: Seconds, time: ServiceTime, service_time: Seconds
) -> Seconds:
    """Return the service time after which a request is overdue.

    Unanswered attempts raise it only as far as other servers take as long: a
    server that hangs is at fault, one that is as slow as the others is not.
    """
    usual = time.mean
    if not offer.guessed:
        usual = max(time.answered, min(usual, offer.usual_time))
    known = max(_MIN_OVERDUE, _OVERDUE_FACTOR * usual)
    if time.answered:
        return Seconds(known)
    elsewhere = _OVERDUE_FACTOR * offer.usual_time
    return Seconds(
        max(
            known,
            _OVERDUE_FACTOR * service_time,
            _UNKNOWN_ROUTE_SHARE * left,
            min(elsewhere, _MAX_ROUTE_SHARE * left),
        )
    )
