"""Conditions for crossing the link between regions."""

from egretlever.core import Seconds
from egretlever.routing._interface import NoPlacementReason, PlacementRequest
from egretlever.routing._pools import ServicePool


def check_crossing(
    pool: ServicePool,
    request: PlacementRequest,
    local: bool,
    remote: bool,
    now: Seconds,
) -> NoPlacementReason | None:
    """Return why a request may not cross regions, None when it may.

    Parameters
    ----------
    pool : ServicePool
        Servers of the service.
    request : PlacementRequest
        Attempt that needs a server.
    local, remote : bool
        Whether the own region has an eligible server, and whether other
        regions have one.
    now : Seconds
        Current local time.

    Returns
    -------
    NoPlacementReason or None
        The first condition that does not hold.
    """
    if not remote:
        if local:
            return NoPlacementReason.SATURATED
        return NoPlacementReason.NO_ELIGIBLE_SERVER
    if not request.cross_region:
        return NoPlacementReason.RANK_STAYS_LOCAL
    if now + pool.remote_extra_latency_ + pool.latency_ > request.deadline:
        return NoPlacementReason.DEADLINE_TOO_NEAR
    return None
