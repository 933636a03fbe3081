"""What a node holds for one caller, within the account of the process."""

from egretlever.core import Seconds
from egretlever.memory import ByteAccount, HoldingKind
from egretlever.transport import CallerConnection, RequestError, read_clock

# Received bytes that the parser holds beyond the buffer of a longer body.
_PARSER_BYTES = 65536
# A response keeps its server's slot until it is held, so callers that don't
# read are dropped sooner for it than for a request.
_MIN_ANSWER_SILENCE = Seconds(0.2)
# Bytes of one response that its caller has not taken. The server waits with the
# rest of a longer one.
_MAX_ANSWER_BYTES = 4 << 20


class HeldCaller:
    """A caller's connection as a holder of bytes.

    Parameters
    ----------
    connection : CallerConnection
        Connection of the caller.
    account : ByteAccount
        Account of the process.
    """

    def __init__(
        self, connection: CallerConnection, account: ByteAccount
    ) -> None:
        self._connection = connection
        self._account = account
        self._body_bytes = 0
        self._answer_bytes = 0
        connection.observe_bytes = self._touch

    def admit(self) -> bool:
        """Count the connection; false when it has to be closed."""
        return self._account.admit(self, read_clock())

    def close(self) -> None:
        """Free everything that is held."""
        self._account.close(self)

    @property
    def awaits_peer(self) -> bool:
        """Whether the caller has to send or to read next."""
        return self._connection.awaits_caller

    def drop(self) -> None:
        """End the connection; its task frees the buffers in its next turn."""
        self._connection.shut_down()

    def _touch(self) -> None:
        self._account.touch(self, read_clock())

    def hold_body(self, size: int, short: bool) -> None:
        """Hold further bytes of a request body.

        Parameters
        ----------
        size : int
            Number of bytes.
        short : bool
            Whether the whole body is known to be short.

        Raises
        ------
        RequestError
            When the process can't hold them.
        """
        if not short and not self._body_bytes:
            size += _PARSER_BYTES
        if not self._account.grow(
            self, HoldingKind.REQUEST, size, read_clock(), short
        ):
            raise RequestError(503, "too many large requests are received")
        self._body_bytes += size

    def free_body(self) -> None:
        """Free the bytes of the current request body."""
        self._account.shrink(self, HoldingKind.REQUEST, self._body_bytes)
        self._body_bytes = 0

    def hold_answer(self, size: int) -> bool:
        """Hold further bytes of a response; false when there is no room now."""
        if self._answer_bytes + size > _MAX_ANSWER_BYTES:
            return False
        granted = self._account.grow(
            self,
            HoldingKind.ANSWER,
            size,
            read_clock(),
            min_silence=_MIN_ANSWER_SILENCE,
        )
        if granted:
            self._answer_bytes += size
        return granted

    def free_answer(self, size: int | None = None) -> None:
        """Free bytes of the current response, by default all."""
        freed = self._answer_bytes if size is None else size
        self._answer_bytes -= freed
        self._account.shrink(self, HoldingKind.ANSWER, freed)
