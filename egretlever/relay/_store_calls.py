"""Delays between failed calls of the store, and log lines about its data."""

import random

import curio

from egretlever.core import Seconds, make_log
from egretlever.schema import logs_pb2

_LOG = make_log("store")
# Shortest and longest bound of the delay after a failed call. The delay is
# random, so that nodes do not all retry at once.
_MIN_BACKOFF = Seconds(0.2)
_MAX_BACKOFF = Seconds(1.2)


def log_state(
    event: str, subject: str, version: str = "", reason: str = ""
) -> None:
    """Log an event about data read from or written to the store."""
    _LOG.event(
        logs_pb2.StateLine(
            event=event, subject=subject, version=version, reason=reason
        )
    )


class Backoff:
    """Exponential backoff with jitter.

    Parameters
    ----------
    rng : random.Random
        Source of jitter.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._bound = _MIN_BACKOFF

    async def wait(self) -> None:
        """Wait, and increase the bound of the next delay."""
        await curio.sleep(self._bound * (0.5 + 0.5 * self._rng.random()))
        self._bound = Seconds(min(_MAX_BACKOFF, 2 * self._bound))

    def reset(self) -> None:
        """Reset the bound to its minimum."""
        self._bound = _MIN_BACKOFF
