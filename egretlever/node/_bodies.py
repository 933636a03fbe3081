"""Request bodies: small ones are buffered, large ones are streamed."""

from collections.abc import Callable

from egretlever.transport import CallerConnection

REQUEST_BUFFER_LIMIT = 65536  # bytes; a longer body can't be sent twice


def _ignore(size: int) -> None:
    """Hold bytes without a bound."""


class RequestBody:
    """Body of a request, buffered up to `REQUEST_BUFFER_LIMIT`.

    Parameters
    ----------
    connection : CallerConnection
        Connection that the body is read from.
    hold : callable, optional
        Called with the number of bytes before they are buffered; raises
        `RequestError` when the process can't hold them.
    """

    def __init__(
        self,
        connection: CallerConnection,
        hold: Callable[[int], None] = _ignore,
    ) -> None:
        self._connection = connection
        self._hold = hold
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
        # A list of parts would take far more than chunks of a few bytes do.
        buffer = bytearray(self.buffer)
        while len(buffer) <= REQUEST_BUFFER_LIMIT:
            data = await self._connection.read_body()
            if not data:
                break
            self._hold(len(data))
            buffer += data
        self.buffer = bytes(buffer)
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
