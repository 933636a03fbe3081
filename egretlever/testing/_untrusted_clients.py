"""Clients that send what makes a process hold memory, and stay connected."""

import itertools
import pathlib
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import curio

from egretlever.core import Address, Seconds
from egretlever.transport import ConnectError, open_connection

_CONNECT_TIMEOUT = Seconds(10.0)
# Clients that the process neither reads nor cuts off stop sending then.
_FEED_TIME = 20.0  # seconds
# A process is idle when it has used at most this much time in each interval.
_IDLE_INTERVAL = 0.3  # seconds
_IDLE_TICKS = 2
_MIB = 1 << 20
_request_numbers = itertools.count()

Form = Iterator[bytes]


def send_declared(target: str, size: int, part: int) -> Form:
    """Send all but the last byte of a body of declared length, in parts."""
    yield _make_head(target, b"content-length: %d" % size)
    yield from _split(size - 1, part)


def send_chunks(target: str, size: int, chunk: int, batch: int = 1) -> Form:
    """Send a chunked body without its end, `batch` chunks at a time."""
    yield _make_head(target, b"transfer-encoding: chunked")
    data = (b"%x\r\n" % chunk + bytes(chunk) + b"\r\n") * batch
    for _ in range(size // (chunk * batch)):
        yield data


def send_endless_head(size: int) -> Form:
    """Send a part of a head."""
    yield b"GET / HTTP/1.1\r\nhost: 127.0.0.1\r\nx-padding: " + b"a" * size


def ask_without_reading(
    target: str, count: int, *fields: bytes, host: str = "127.0.0.1"
) -> Form:
    """Send pipelined requests whose answers are not read."""
    for _ in range(count):
        name = b"x-request-id: unread-%d" % next(_request_numbers)
        lines = (b"content-length: 0", name, *fields)
        yield _make_head(target, *lines, host=host)


def _make_head(target: str, *lines: bytes, host: str = "127.0.0.1") -> bytes:
    start = f"POST {target} HTTP/1.1\r\nhost: {host}\r\n".encode()
    return start + b"\r\n".join(lines) + b"\r\n\r\n"


def _split(size: int, part: int) -> Form:
    data = bytes(part)
    for start in range(0, size, part):
        yield data[: min(part, size - start)]


class UntrustedClients:
    """Connections that stay open after all of them have sent their bytes.

    Parameters
    ----------
    address : Address
        Address of the process for clients.
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        self._sockets: list[Any] = []

    async def run(self, count: int, make_form: Callable[[], Form]) -> None:
        """Send on many connections at once, until all have sent everything.

        Parameters
        ----------
        count : int
            Number of connections.
        make_form : callable
            Returns the bytes of one connection, in parts.
        """
        async with curio.TaskGroup() as tasks:
            for _ in range(count):
                await tasks.spawn(self._feed, make_form())

    async def _feed(self, form: Form) -> None:
        try:
            sock = await open_connection(self._address, _CONNECT_TIMEOUT)
        except ConnectError:
            return
        self._sockets.append(sock)
        try:
            async with curio.ignore_after(_FEED_TIME):
                for data in form:
                    await sock.sendall(data)
                    await curio.sleep(0)
        except OSError:
            # The process has refused the request or closed the connection.
            return

    async def close(self) -> None:
        """Close all connections."""
        for sock in self._sockets:
            await sock.close()
        self._sockets.clear()


class ProcessUse:
    """What a process of the system takes of its machine.

    Parameters
    ----------
    pid : int
        Id of the process.
    """

    def __init__(self, pid: int) -> None:
        self._folder = pathlib.Path(f"/proc/{pid}")

    def measure_peak_mb(self) -> float:
        """Return the largest resident set so far, in MiB."""
        lines = (self._folder / "status").read_text().splitlines()
        kib = next(line for line in lines if line.startswith("VmHWM:"))
        return int(kib.split()[1]) * 1024 / _MIB

    def count_descriptors(self) -> int:
        """Return the number of open file descriptors."""
        return len(list((self._folder / "fd").iterdir()))

    async def watch(self, work: Callable[[], Awaitable[None]]) -> int:
        """Return the most descriptors open during some work and after it.

        The process has handled the work's input when it is idle again.
        """
        most = 0

        async def watch_forever() -> None:
            nonlocal most
            while True:
                most = max(most, self.count_descriptors())
                await curio.sleep(0.02)

        watcher = await curio.spawn(watch_forever, daemon=True)
        await work()
        used = self._read_ticks()
        while True:
            await curio.sleep(_IDLE_INTERVAL)
            before, used = used, self._read_ticks()
            if used - before <= _IDLE_TICKS:
                break
        await watcher.cancel()
        return most

    def _read_ticks(self) -> int:
        """Return the processor time used so far, in ticks of the system."""
        text = (self._folder / "stat").read_text()
        fields = text.rpartition(")")[2].split()
        return int(fields[11]) + int(fields[12])
