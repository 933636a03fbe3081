"""TCP sockets on curio, and the clock of its event loop."""

import fcntl
import select
import socket as plain_socket
import struct
import termios
import time
from typing import Any

import curio
import curio.kernel
from curio import socket

from egretlever.core import Address, Seconds
from egretlever.transport._faults import NO_FAULTS, FaultInjector

_BACKLOG = 1024
# Keepalive closes a connection whose peer is unreachable after three seconds.
# This and the read that follows take less time than an accepted configuration
# has to come into force.
_KEEPALIVE_IDLE = 1  # seconds
_KEEPALIVE_INTERVAL = 1  # seconds
_KEEPALIVE_PROBES = 2
_READ_SIZE = 65536
# Receiving available data does not suspend a task, so a peer that never stops
# sending would keep the only loop. A reader yields after this many calls.
_RECEIVES_PER_TURN = 4
_INT = struct.Struct("i")
# Parsing one chunk takes some 20 us, and one read may hold thousands of them.
MAX_EVENTS_PER_TURN = 256


class ConnectError(Exception):
    """A connection could not be established.

    Parameters
    ----------
    message : str
        What failed.
    timed_out : bool
        True after a timeout, false when the connection was refused.
    """

    def __init__(self, message: str, timed_out: bool) -> None:
        super().__init__(message)
        self.timed_out = timed_out


def read_clock() -> Seconds:
    """Read the clock by which deadlines and other permissions run out.

    It runs like the clock that curio takes its timeouts from, but goes on while
    the host is suspended. Tests replace both with a virtual clock.

    Returns
    -------
    Seconds
        Time since the host was started.
    """
    return Seconds(curio.kernel.time.clock_gettime(time.CLOCK_BOOTTIME))


def _choose_family(ip: str) -> int:
    return socket.AF_INET6 if ":" in ip else socket.AF_INET


async def open_connection(
    address: Address,
    timeout: Seconds,
    faults: FaultInjector = NO_FAULTS,
    keepalive: bool = False,
) -> Any:
    """Open a TCP connection.

    Parameters
    ----------
    address : Address
        Address of the peer.
    timeout : Seconds
        Timeout of establishing the connection.
    faults : FaultInjector, optional
        Link faults injected by tests.
    keepalive : bool, default=False
        Whether to enable TCP keepalive.

    Returns
    -------
    curio.io.Socket
        Connected socket with Nagle's algorithm disabled.

    Raises
    ------
    ConnectError
        When the connection is refused or times out.
    """
    sock = socket.socket(_choose_family(address.ip), socket.SOCK_STREAM)
    try:
        async with curio.timeout_after(timeout):
            await faults.await_connect(address)
            await sock.connect((address.ip, address.port))
    except curio.TaskTimeout:
        await sock.close()
        raise ConnectError(f"{address}: connecting timed out", True) from None
    except OSError as error:
        await sock.close()
        raise ConnectError(f"{address}: {error}", False) from error
    except curio.CancelledError:
        await sock.close()
        raise
    set_no_delay(sock)
    if keepalive:
        _set_keepalive(sock)
    return faults.wrap(sock, address)


def open_listener(address: Address) -> Any:
    """Open a listening TCP socket.

    Parameters
    ----------
    address : Address
        Address to bind; port 0 selects a free port.

    Returns
    -------
    curio.io.Socket
        Listening socket.

    Raises
    ------
    OSError
        When the address cannot be bound.
    """
    sock = socket.socket(_choose_family(address.ip), socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address.ip, address.port))
    sock.listen(_BACKLOG)
    return sock


def adopt_listener(sock: plain_socket.socket) -> Any:
    """Use a listening socket of the standard library on the event loop.

    Parameters
    ----------
    sock : socket.socket
        Listening socket; the result owns it.

    Returns
    -------
    curio.io.Socket
        The same socket.
    """
    return curio.io.Socket(sock)


def set_no_delay(sock: Any) -> None:
    """Disable Nagle's algorithm, which would delay small responses."""
    sock.setsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1)


def _set_keepalive(sock: Any) -> None:
    """Enable TCP keepalive, so that an unreachable peer is detected."""
    sock.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_KEEPALIVE, 1)
    for option, value in (
        (plain_socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE),
        (plain_socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL),
        (plain_socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
    ):
        sock.setsockopt(plain_socket.IPPROTO_TCP, option, value)


def _get_plain_socket(sock: Any) -> plain_socket.socket:
    """Return the non-blocking socket that a curio socket wraps.

    ``Socket.blocking`` would switch the mode with two system calls per use.
    """
    plain: plain_socket.socket = sock._socket
    return plain


def _peek(sock: Any) -> bytes | None:
    """Return the next unread byte without consuming it, None without one."""
    try:
        found: bytes = _get_plain_socket(sock).recv(1, plain_socket.MSG_PEEK)
        return found
    except (BlockingIOError, InterruptedError):
        return None


def is_closed_by_peer(sock: Any) -> bool:
    """Return without waiting whether the peer closed or reset a connection.

    Parameters
    ----------
    sock : curio.io.Socket
        Connected socket.

    Returns
    -------
    bool
        False also while there is unread data.
    """
    try:
        return _peek(sock) == b""
    except OSError:
        return True


def is_open_and_empty(sock: Any) -> bool:
    """Return without waiting whether a connection is open without unread data.

    Data received on an idle connection belongs to no request.
    """
    try:
        return _peek(sock) is None
    except OSError:
        return False


def has_unread_data(sock: Any) -> bool:
    """Return without waiting whether there is unread data."""
    try:
        return bool(_peek(sock))
    except OSError:
        return False


def is_reset_by_peer(sock: Any) -> bool:
    """Return without waiting whether the peer reset a connection."""
    try:
        poller = select.poll()
        poller.register(sock.fileno(), 0)
        return any(
            event & (select.POLLERR | select.POLLHUP)
            for _, event in poller.poll(0)
        )
    except OSError:
        return True


def measure_unacknowledged(sock: Any, ended: bool = False) -> int | None:
    """Return the sent bytes that the peer has not acknowledged.

    Parameters
    ----------
    sock : curio.io.Socket
        Connected socket.
    ended : bool, default=False
        Whether its sending side was closed, which the system counts as a byte.

    Returns
    -------
    int or None
        None when the system does not tell.
    """
    try:
        found = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INT.size))
    except (OSError, ValueError):
        return None
    count: int = _INT.unpack(found)[0]
    return max(0, count - ended)


def send_now(sock: Any, data: bytes) -> bool:
    """Send bytes without waiting; false when the connection is reset.

    Bytes that do not fit into the send buffer are dropped.
    """
    try:
        _get_plain_socket(sock).send(data)
    except (BlockingIOError, InterruptedError):
        return True
    except OSError:
        return False
    return True


def send_some(sock: Any, data: bytes) -> int:
    """Send as much as fits into the send buffer, and return how much.

    Raises
    ------
    OSError
        When the connection is closed.
    """
    try:
        return _get_plain_socket(sock).send(data) if data else 0
    except (BlockingIOError, InterruptedError):
        return 0


async def send_all(sock: Any, data: bytes, timeout: float) -> None:
    """Send all bytes; the timeout starts only if the send buffer is full.

    Parameters
    ----------
    sock : curio.io.Socket
        Connected socket.
    data : bytes
        Bytes to send.
    timeout : float
        Timeout of sending all bytes, in seconds.

    Raises
    ------
    OSError
        When the connection is closed.
    curio.TaskTimeout
        When the peer does not read in time.
    """
    sent = send_some(sock, data)
    if sent < len(data):
        async with curio.timeout_after(timeout):
            await sock.sendall(memoryview(data)[sent:])


class SocketReader:
    """Receives from a socket without keeping the loop from other tasks.

    Parameters
    ----------
    sock : curio.io.Socket
        Connected socket.
    """

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._receives = 0

    async def receive(self) -> bytes:
        """Receive available bytes; empty when the peer has closed.

        Raises
        ------
        OSError
            When the connection is closed.
        """
        self._receives += 1
        if self._receives % _RECEIVES_PER_TURN == 0:
            await curio.sleep(0)
        data: bytes = await self._sock.recv(_READ_SIZE)
        return data


class ParsingTurns:
    """Lets other tasks run while the events of a parser are taken one by one.

    One receive may hold thousands of chunks.
    """

    def __init__(self) -> None:
        self._events = 0

    async def count_event(self) -> None:
        """Count an event; after some of them other tasks run."""
        self._events += 1
        if self._events % MAX_EVENTS_PER_TURN == 0:
            await curio.sleep(0)
            # A timeout that expired in the first call is raised by the second
            # one. Entering another timeout would discard it.
            await curio.sleep(0)


def shut_down_now(sock: Any) -> None:
    """Shut a connection down without waiting, which wakes its tasks."""
    try:
        _get_plain_socket(sock).shutdown(plain_socket.SHUT_RDWR)
    except OSError:
        # The connection is already closed.
        return


def reset_on_close(sock: Any) -> None:
    """Make the next close of the socket reset the connection."""
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_LINGER, linger)
