"""Counts the turns that tasks got after their timeouts."""

import logging

from egretlever.relay import _metrics as metrics

# Logger of curio's warnings about tasks that ended after an enclosing timeout.
_LOGGER = "curio.time"


class LateTurnFilter(logging.Filter):
    """Counts warnings about late turns in place of printing each of them.

    A process that is starved of processor time is late for many tasks at once.
    """

    def filter(self, record: logging.LogRecord) -> bool:
        """Count a warning and drop it; other records pass."""
        delay = record.args[-1] if isinstance(record.args, tuple) else None
        if not isinstance(delay, float):
            return True
        metrics.LATE_TURN_SECONDS.observe(delay)
        return False


def count_late_turns() -> None:
    """Count late turns from now on."""
    logger = logging.getLogger(_LOGGER)
    if not any(isinstance(other, LateTurnFilter) for other in logger.filters):
        logger.addFilter(LateTurnFilter())
