"""Request bodies: small ones are buffered, large ones are streamed."""

from egretlever.transport import CallerConnection

REQUEST_BUFFER_LIMIT = 65536  # bytes; a longer body can't be sent twice


class RequestBody:
    """Body of a request, buffered up to `REQUEST_BUFFER_LIMIT`.

    Parameters
    ----------
    connection : CallerConnection
        Connection that the body is read from.
    """

    def __init__(self, connection: CallerConnection) -> None:
        self._connection = connection
        self._streaming = False
        self.buffer = b""
        self.filled = False

    async def fill(self) -> None:
        """Read into the buffer until the body ends or the buffer is full.

        Raises
        ------
        RequestError
            When the body is malformed or arrives too slowly.
        CallerDisconnectedError
            When the caller closes its connection.
        """
        parts = [self.buffer]
        size = len(self.buffer)
        while size <= REQUEST_BUFFER_LIMIT:
            data = await self._connection.read_body()
            if not data:
                break
            parts.append(data)
            size += len(data)
        self.buffer = b"".join(parts)
        self.filled = True

    @property
    def complete(self) -> bool:
        """Whether `buffer` contains the complete body."""
        return self._connection.body_ended

    @property
    def can_resend(self) -> bool:
        """Whether the body can be sent to another server."""
        return self.complete or not self._streaming

    async def read_rest(self) -> bytes:
        """Read the next part after `buffer`, empty at the end."""
        self._streaming = True
        return await self._connection.read_body()
