"""Receives the rest of a response whose caller reads slowly."""

import collections

import curio

from egretlever.node._held_callers import HeldCaller
from egretlever.transport import BackendConnection, CallerConnection

_ROOM_CHECK_INTERVAL = 0.05  # seconds


class SlowReader:
    """Sends parts of a response while further ones are received.

    The server and its slot are free as soon as the response is received,
    however slowly the caller reads it.

    Parameters
    ----------
    connection : CallerConnection
        Connection of the caller.
    caller : HeldCaller
        Grants the bytes that the caller has not taken.
    """

    def __init__(
        self, connection: CallerConnection, caller: HeldCaller
    ) -> None:
        self._connection = connection
        self._caller = caller
        # Encoded parts, with the bytes that are held for each.
        self._parts: collections.deque[tuple[bytes, int]] = collections.deque()
        self._added = curio.Event()
        self._complete = False
        self._writer: curio.Task | None = None

    async def start(self, unsent: bytes, complete: bool) -> None:
        """Send the rest of a part in a task of its own."""
        self._complete = complete
        self._parts.append((unsent, 0))
        self._writer = await curio.spawn(self._write, daemon=True)

    async def add(self, data: bytes, complete: bool) -> None:
        """Add a part, as soon as there is room for it.

        Raises
        ------
        CallerDisconnectedError
            When the caller has closed its connection or was dropped.
        """
        assert self._writer is not None  # started
        while not self._caller.hold_answer(len(data)):
            if self._writer.terminated:
                await self.finish()
            await curio.sleep(_ROOM_CHECK_INTERVAL)
        encoded = self._connection.encode_data(data, complete)
        self._parts.append((encoded, len(data)))
        self._complete = complete
        await self._added.set()

    async def receive(self, source: BackendConnection, timeout: float) -> None:
        """Receive the rest of a response.

        Raises
        ------
        BackendClosedError, BackendProtocolError
            When the response is not complete.
        curio.TaskTimeout
            When no further part is received in time.
        CallerDisconnectedError
            When the caller has closed its connection or was dropped.
        """
        while not self._complete:
            async with curio.timeout_after(timeout):
                data, complete = await source.read_data()
            await self.add(data, complete)

    async def finish(self) -> None:
        """Wait until everything is sent.

        Raises
        ------
        CallerDisconnectedError
            When the caller does not read in time or closes its connection.
        """
        assert self._writer is not None  # started
        await self._writer.wait()
        if self._writer.exception is not None:
            raise self._writer.exception

    async def stop(self) -> None:
        """End the task, and free what was not sent."""
        if self._writer is not None:
            await self._writer.cancel()
        self._parts.clear()
        self._caller.free_answer()

    async def _write(self) -> None:
        while True:
            while self._parts:
                encoded, held = self._parts.popleft()
                await self._connection.send_encoded(encoded)
                self._caller.free_answer(held)
            if self._complete:
                return
            self._added.clear()
            await self._added.wait()
