"""Limits on waiting for the nodes that share a table."""

import dataclasses

from egretlever.core import Seconds


@dataclasses.dataclass(frozen=True, slots=True)
class SharingLimits:
    """How long a node waits for others before it asks the store.

    Parameters
    ----------
    max_tried : int
        Nodes that are tried in turn before the store is asked. Several hosts
        may have been lost together.
    first_change_timeout : Seconds
        Time in which a node has to acknowledge that it is followed. A node of
        an earlier release does not know the subscription.
    silence_before_ping : Seconds
        A node from which nothing was received for this time is checked by a
        ping, unless it tells positions.
    doubt_time : Seconds, optional
        Time after which a node that has lost its source, and found no other
        one, tells this to the nodes that follow it. Without it they are told
        when a call of the store fails.
    """

    max_tried: int = 8
    first_change_timeout: Seconds = Seconds(1.0)
    silence_before_ping: Seconds = Seconds(5.0)
    doubt_time: Seconds | None = None
