"""A server that announces itself at a host through series of events."""

import enum

import curio

from egretlever.platform.tests.wire_builders import build_heartbeat_body
from egretlever.standins import RowsFault
from egretlever.testing._relay_host import RelayHost

_MAX_DELAY = 6.0  # seconds for which a heartbeat may be delayed


class Event(enum.Enum):
    """What may happen on a host."""

    HEARTBEAT = "heartbeat"
    DELAYED_HEARTBEAT = "delayed heartbeat"
    DRAINING = "draining"
    DEPARTURE = "departure"
    NEXT_SERVER = "next server"
    KILL = "kill"
    STOP = "stop"
    STORE_DOWN = "store down"
    STORE_BACK = "store back"
    PAUSE = "pause"


class Announcer:
    """Sends what a server says of itself, on time and late.

    Parameters
    ----------
    host : RelayHost
        Host of the server.

    Attributes
    ----------
    left : bool
        Whether the leaving of the latest incarnation was acknowledged.
    runs : bool
        Whether it runs. One that has drained exits when it has departed.
    """

    def __init__(self, host: RelayHost) -> None:
        self._host = host
        self.left = False
        self.runs = True
        self._drained = False
        self._born: int = build_heartbeat_body()["born"]
        self._sequence = 0
        # Time, sequence number and incarnation of each heartbeat.
        self._sent: list[tuple[float, int, int]] = []

    async def play(self, event: Event) -> None:
        """Let an event happen."""
        host = self._host
        match event:
            case Event.HEARTBEAT if self.runs:
                await self._announce("draining" if self.left else "ready")
            case Event.DELAYED_HEARTBEAT:
                oldest = await curio.clock() - _MAX_DELAY
                for at, sequence, born in self._sent[-1:]:
                    if at >= oldest:
                        await host.announce(sequence, born=born)
            case Event.DRAINING if self.runs:
                self._drained |= await self._announce("draining") == 200
                self.left |= self._drained
            case Event.DEPARTURE if self.runs:
                self.left |= await host.depart(self._born) == 200
                self.runs = not (self.left and self._drained)
            case Event.NEXT_SERVER:
                self._born, self._sequence = self._born + 1, 0
                self.left, self._drained, self.runs = False, False, True
            case Event.KILL:
                await host.restart()
            case Event.STOP:
                await host.stop()
                await host.start()
            case Event.STORE_DOWN:
                host.store.fault = RowsFault.SILENT
            case Event.STORE_BACK:
                host.store.fault = RowsFault.NONE
            case Event.PAUSE:
                await curio.sleep(1.0)

    async def _announce(self, state: str) -> int | None:
        self._sequence += 1
        if state == "ready":
            self._sent.append((await curio.clock(), self._sequence, self._born))
        return await self._host.announce(self._sequence, state, born=self._born)
