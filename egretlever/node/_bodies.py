"""Request bodies: small ones are held whole, large ones pass through."""

from egretlever.transport import CallerConnection

BUFFER_LIMIT = 65536  # bytes; a longer body can't be sent a second time


class RequestBody:
    """Body of a request, held whole up to `BUFFER_LIMIT`.

    Parameters
    ----------
    connection : CallerConnection
        Connection that the body comes from.
    """

    def __init__(self, connection: CallerConnection) -> None:
        self._connection = connection
        self._taken = False
        self.start = b""
        self.filled = False

    async def fill(self) -> None:
        """Read until the body ends or the buffer is full.

        Raises
        ------
        RequestError
            When the body is badly framed or too slow.
        CallerGoneError
            When the caller's connection ends.
        """
        parts = [self.start]
        size = len(self.start)
        while size <= BUFFER_LIMIT:
            data = await self._connection.read_body()
            if not data:
                break
            parts.append(data)
            size += len(data)
        self.start = b"".join(parts)
        self.filled = True

    @property
    def whole(self) -> bool:
        """Whether `start` is the whole body."""
        return self._connection.body_ended

    @property
    def repeatable(self) -> bool:
        """Whether the body can be sent once more."""
        return self.whole or not self._taken

    async def read_rest(self) -> bytes:
        """Read the next part behind `start`, empty at the end."""
        self._taken = True
        return await self._connection.read_body()
