"""TCP sockets on curio, and the clock of its loop."""

import socket as plain_socket
from typing import Any

import curio
import curio.kernel
from curio import socket

from egretlever.core import Address, Seconds
from egretlever.transport._faults import NO_FAULTS, FaultInjector

_BACKLOG = 1024


class ConnectError(Exception):
    """A connection could not be established.

    Parameters
    ----------
    message : str
        What failed.
    timed_out : bool
        True when no answer came in time, false when it was refused.
    """

    def __init__(self, message: str, timed_out: bool) -> None:
        super().__init__(message)
        self.timed_out = timed_out


def read_clock() -> Seconds:
    """Read the clock that curio takes its timeouts from, in seconds.

    Tests replace this clock, so code that measures time with it and code that
    sleeps agree under virtual time.
    """
    return Seconds(curio.kernel.time.monotonic())


def _choose_family(ip: str) -> int:
    return socket.AF_INET6 if ":" in ip else socket.AF_INET


async def open_connection(
    address: Address, timeout: Seconds, faults: FaultInjector = NO_FAULTS
) -> Any:
    """Open a TCP connection.

    Parameters
    ----------
    address : Address
        Where to connect.
    timeout : Seconds
        Time allowed for the connection.
    faults : FaultInjector, optional
        Faults of the link, which only tests inject.

    Returns
    -------
    curio.io.Socket
        Connected socket without Nagle's delay.

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
        raise ConnectError(f"{address} did not answer", True) from None
    except OSError as error:
        await sock.close()
        raise ConnectError(f"{address}: {error}", False) from error
    except curio.CancelledError:
        await sock.close()
        raise
    set_no_delay(sock)
    return faults.wrap(sock, address)


def open_listener(address: Address) -> Any:
    """Open a listening TCP socket.

    Parameters
    ----------
    address : Address
        Address to bind; port 0 lets the system choose.

    Returns
    -------
    curio.io.Socket
        Listening socket.

    Raises
    ------
    OSError
        When the address can't be bound.
    """
    sock = socket.socket(_choose_family(address.ip), socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address.ip, address.port))
    sock.listen(_BACKLOG)
    return sock


def set_no_delay(sock: Any) -> None:
    """Turn off Nagle's delay, which would hold back small answers."""
    sock.setsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1)


def is_closed_by_peer(sock: Any) -> bool:
    """Tell without waiting whether the peer has closed or reset a connection.

    Parameters
    ----------
    sock : curio.io.Socket
        Connected socket.

    Returns
    -------
    bool
        False also when data waits to be read.
    """
    with sock.blocking() as plain:
        try:
            return (
                plain.recv(1, plain_socket.MSG_PEEK | plain_socket.MSG_DONTWAIT)
                == b""
            )
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
