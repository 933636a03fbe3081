"""Time after which a refused client is to return."""

import random

from egretlever.core import Seconds

# Share of the time left for which clients honour Retry-After.
_HONOURED_SHARE = 1 / 3
# Room that is likely at once is often taken before a client has returned.
_MIN_WAIT = Seconds(0.05)


def choose_retry_after(
    room_in: Seconds, time_left: Seconds, needed: Seconds, rng: random.Random
) -> Seconds:
    """Choose the time after which a refused client is to return.

    It handles a burst whose refused clients return. They are spread evenly from
    the time at which there is likely to be room to the last one that leaves
    them enough time. Returns at one moment would meet full servers again.

    Parameters
    ----------
    room_in : Seconds
        Time until a server is likely to have room.
    time_left : Seconds
        Time that the client has left.
    needed : Seconds
        Time that has to be left when it returns.
    rng : random.Random
        Source of random choices.

    Returns
    -------
    Seconds
        The last time that leaves enough, when the bounds contradict each
        other.

    Examples
    --------
    >>> rng = random.Random(1)
    >>> wait = choose_retry_after(Seconds(0.2), Seconds(1.5), Seconds(0.3), rng)
    >>> 0.2 <= wait <= 0.5
    True
    >>> choose_retry_after(Seconds(0.9), Seconds(1.5), Seconds(0.3), rng)
    0.5
    """
    earliest = max(_MIN_WAIT, room_in)
    latest = min(_HONOURED_SHARE * time_left, time_left - needed)
    if latest <= 0:  # it can't be served any more
        return earliest
    if latest <= earliest:
        return Seconds(latest)
    return Seconds(rng.uniform(earliest, latest))
