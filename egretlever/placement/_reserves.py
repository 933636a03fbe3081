"""Time that an attempt leaves for a further one."""

from egretlever.core import Seconds

# A further attempt is likely to succeed within this multiple of the usual
# service time.
_RETRY_TIME_FACTOR = 1.5


def estimate_reserve(
    time_left: Seconds,
    usual_time: Seconds,
    unanswered_time: Seconds,
    can_follow: bool,
) -> Seconds:
    """Return the time that has to be left when an attempt is ended early.

    Parameters
    ----------
    time_left : Seconds
        Time until the request's deadline.
    usual_time : Seconds
        Usual service time of its route.
    unanswered_time : Seconds
        Longest time of its earlier attempts that got no answer; 0 without any.
        It is likely to need at least as long.
    can_follow : bool
        Whether a further attempt is allowed, and a server is left for it.

    Examples
    --------
    >>> estimate_reserve(Seconds(6.0), Seconds(0.5), Seconds(1.0), True)
    1.5
    >>> estimate_reserve(Seconds(6.0), Seconds(0.5), Seconds(0.0), False)
    6.0
    """
    if not can_follow:
        return time_left
    needed = _RETRY_TIME_FACTOR * max(usual_time, unanswered_time)
    return Seconds(min(time_left, needed))
