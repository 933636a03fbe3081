"""Decoding of what a server says about itself in the heads of its answers."""

import math
from collections.abc import Callable

from egretlever.core import make_log
from egretlever.home import ServerSignals
from egretlever.platform import _headers as headers

_LOG = make_log("server")
_LEAVING = "1"


def decode_signals(find: Callable[[bytes], str | None]) -> ServerSignals:
    """Decode the signals in the head of an answer.

    Parameters
    ----------
    find : callable
        Returns the value of a header field by its lower-case name.

    Examples
    --------
    >>> decode_signals({b"server-limit": "2.5"}.get)
    ServerSignals(limit=2.5, leaving=False)
    """
    return ServerSignals(
        limit=_decode_limit(find(headers.SERVER_LIMIT)),
        leaving=(find(headers.SERVER_LEAVING) or "").strip() == _LEAVING,
    )


def _decode_limit(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        limit = float(text)
    except ValueError:
        limit = math.nan
    if not 0.0 <= limit < math.inf:
        _LOG.debug("%r is not a limit of requests per second.", text)
        return None
    return limit
