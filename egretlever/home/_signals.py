"""What a server says about itself in its answers."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSignals:
    """What a server says about itself in one answer.

    Parameters
    ----------
    limit : float or None
        Requests per second that it takes from all hosts together; None when it
        names no limit.
    leaving : bool
        Whether it is about to leave the fleet.
    """

    limit: float | None = None
    leaving: bool = False
