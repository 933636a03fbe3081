"""Era of the platform's store, which increases when the store is restored."""

import curio

from egretlever.core import NO_ERA, StoreEra, make_log
from egretlever.schema import logs_pb2

_LOG = make_log("store")
_MAX_ERA = (1 << 32) - 1


class StoreEras:
    """Knows the newest era of the store.

    It is learned from the answers of the store, and from other nodes.

    Attributes
    ----------
    current : StoreEra
        Newest era that is known, 0 while none is.
    """

    def __init__(self) -> None:
        self.current = NO_ERA
        self._advanced = curio.Event()

    async def observe(self, era: StoreEra, source: str) -> None:
        """Record an era.

        Parameters
        ----------
        era : StoreEra
            The era; 0 stands for a source that knows none.
        source : str
            Where it comes from, for the log.
        """
        if era <= self.current:
            return
        if self.current:
            _LOG.event(
                logs_pb2.StateLine(
                    event="store-restored",
                    subject=f"era {era}",
                    reason=f"era {self.current} before; learned from {source}",
                )
            )
        self.current = era
        advanced, self._advanced = self._advanced, curio.Event()
        await advanced.set()

    async def wait_beyond(self, era: StoreEra) -> None:
        """Wait until an era after the given one is known."""
        while self.current <= era:
            await self._advanced.wait()


def parse_era(text: str | None) -> StoreEra | None:
    """Parse the era in a header; None when there is none or it is invalid."""
    if text is None or not (text.isascii() and text.isdigit()):
        return None
    era = int(text[:20])
    return StoreEra(era) if 0 < era <= _MAX_ERA else None
