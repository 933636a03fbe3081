"""Requests that wait for a permit."""

import dataclasses
import enum

from egretlever.core import CustomerId, Seconds

# A request waits for a permit for a part of the time that is left to it: long
# enough to ask two pool nodes, and for one permit of the smallest customers.
_WAIT_SHARE = 0.35
_MIN_WAIT = Seconds(0.6)
_MAX_WAIT_SHARE = 0.8
_MAX_WAIT = Seconds(1.0)


class Admission(enum.Enum):
    """Whether a request is within its customer's allotment."""

    WAITING = "waiting"
    ADMITTED = "admitted"
    REFUSED = "refused"


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """A request that waits for a permit.

    Parameters
    ----------
    customer : CustomerId
        Its customer.
    submitted_at : Seconds
        Clock time at which it was submitted.
    until : Seconds
        Clock time until which it waits.
    state : Admission, default=WAITING
        Whether it is admitted.
    wait : Seconds
        Time after which a retry makes sense, for one that is refused.
    """

    customer: CustomerId
    submitted_at: Seconds
    until: Seconds
    state: Admission = Admission.WAITING
    wait: Seconds = Seconds(0.0)


def make_ticket(
    customer: CustomerId, now: Seconds, deadline: Seconds
) -> Ticket:
    """Make the ticket of a request, with the time for which it waits.

    Parameters
    ----------
    customer : CustomerId
        Customer of the request.
    now : Seconds
        Clock time.
    deadline : Seconds
        Clock time by which the request must be answered.

    Examples
    --------
    >>> make_ticket(CustomerId("mill"), Seconds(10.0), Seconds(14.0)).until
    11.0
    >>> make_ticket(CustomerId("mill"), Seconds(10.0), Seconds(10.5)).until
    10.4
    """
    left = max(0.0, deadline - now)
    longest = min(
        max(_WAIT_SHARE * left, _MIN_WAIT), _MAX_WAIT_SHARE * left, _MAX_WAIT
    )
    return Ticket(customer, now, Seconds(now + longest))
