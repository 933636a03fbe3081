"""Choice among servers by reports that are some time old.

Many entry nodes choose at the same moment by the same reports. If each took the
server that looks best, all would take the same one, and the next one after the
next report.
"""

import dataclasses
import random
from collections.abc import Sequence

from egretlever.core import Seconds

# Servers that are compared. Each one is drawn by its free capacity, so that all
# entry nodes together share the servers by it.
_CHOICES = 2
# Time in which a report loses half of its weight against the mean of the other
# servers. It is about a usual service time, in which a server's slots change
# hands.
_REPORT_HALF_LIFE = Seconds(0.1)
# Age up to which a reported wait is taken to last, since other requests replace
# those that end.
_LASTING_WAIT_AGE = Seconds(0.2)
# Offers of one request at a distance that may rest on the hope that a queue has
# become shorter since its report.
_MAX_HOPEFUL_OFFERS = 2


@dataclasses.dataclass(slots=True)
class LoadEstimate:
    """Load of a server by its latest report and the offers sent since.

    Parameters
    ----------
    wait : float
        Wait of a new request in seconds if nothing has ended since the report.
        Below 0 it is the time in which the free slots would be taken.
    age : Seconds
        Age of the report; the longest one that counts if there is none.
    """

    wait: float
    age: Seconds

    def find_lasting_wait(self) -> float:
        """Return the wait if other requests have replaced those that ended."""
        if self.wait <= 0 or self.age <= _LASTING_WAIT_AGE:
            return self.wait
        return max(0.0, self.wait - (self.age - _LASTING_WAIT_AGE))

    def find_least_wait(self) -> float:
        """Return the wait if no other requests have come since the report."""
        return self.wait if self.wait <= 0 else max(0.0, self.wait - self.age)


class EvenLoad:
    """Spreads the choices of many entry nodes over servers by free capacity.

    It handles a burst in which entry nodes that know reports of some age offer
    requests to home nodes that others have filled since. Such offers are
    refused, and servers are overloaded in turn while others are idle.

    - A reported wait counts as lasting for a while. Only when no server is
      left by this measure, a few offers of a request rest on shorter waits.
    - Servers are drawn with weights by the capacity that is left until the
      longest acceptable wait, and the better one of two is taken.
    - The older a report is, the more its server is taken for an average one.

    Parameters
    ----------
    rng : random.Random
        Random generator of the draws.

    Examples
    --------
    >>> even_load = EvenLoad(random.Random(1))
    >>> fresh = Seconds(0.0)
    >>> idle, full = LoadEstimate(-0.2, fresh), LoadEstimate(0.4, fresh)
    >>> even_load.choose([full, idle], Seconds(0.3), 0)
    1
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, loads: Sequence[LoadEstimate], max_wait: Seconds, offers: int
    ) -> int | None:
        """Choose a server.

        Parameters
        ----------
        loads : sequence of LoadEstimate
            Estimated loads of the servers.
        max_wait : Seconds
            Longest acceptable wait.
        offers : int
            Earlier offers of the request at the same distance.

        Returns
        -------
        int or None
            Index of the server, None when all waits are too long.
        """
        waits = [load.find_lasting_wait() for load in loads]
        found = [place for place, wait in enumerate(waits) if wait <= max_wait]
        if not found and offers < _MAX_HOPEFUL_OFFERS:
            waits = [load.find_least_wait() for load in loads]
            found = [
                place for place, wait in enumerate(waits) if wait <= max_wait
            ]
        if len(found) <= 1:
            return found[0] if found else None
        mean = sum([waits[place] for place in found]) / len(found)
        expected = []
        for place in found:
            trust = _REPORT_HALF_LIFE / (_REPORT_HALF_LIFE + loads[place].age)
            expected.append(mean + trust * (waits[place] - mean))
        weights = [max_wait - wait for wait in expected]
        places: Sequence[int] = range(len(found))
        if any(weights):
            places = self._rng.choices(places, weights, k=_CHOICES)
        return found[min(places, key=expected.__getitem__)]
