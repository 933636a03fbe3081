"""Score of a number of bad outcomes against the number expected."""

import math
from collections.abc import Sequence


def score_excess(bad: float, expected: float) -> float:
    """Score how unlikely so many bad outcomes are on a healthy server.

    Parameters
    ----------
    bad : float
        Number of bad outcomes observed.
    expected : float
        Number expected from the peers, above 0.

    Returns
    -------
    float
        Negative natural logarithm of the Chernoff bound of the Poisson tail;
        0 if no more than the expected number were observed.

    Examples
    --------
    >>> score_excess(1, 2)
    0.0
    >>> round(score_excess(5, 0.2), 1)
    11.3
    """
    if bad <= expected:
        return 0.0
    return bad * math.log(bad / expected) - bad + expected


def estimate_typical(counts: Sequence[float]) -> float:
    """Estimate the mean count of a healthy peer among some bad ones.

    The share of peers without bad outcomes gives the mean of a Poisson count,
    regardless of the counts of the worst peers. If most peers have bad
    outcomes, their median is used instead.

    Parameters
    ----------
    counts : sequence of float
        Number of bad outcomes of each peer.

    Returns
    -------
    float
        Typical count; 0 without peers.

    Examples
    --------
    >>> estimate_typical([0, 0, 0, 50]) < 0.5
    True
    >>> estimate_typical([9, 10, 11])
    10
    """
    if not counts:
        return 0.0
    zeros = sum(1 for count in counts if count == 0)
    share = (zeros + 0.5) / (len(counts) + 0.5)
    if share >= 0.5:
        return -math.log(share)
    return sorted(counts)[(len(counts) - 1) // 2]
