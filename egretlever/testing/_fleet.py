"""Launcher of a small fleet of real processes on loopback, for tests."""

import dataclasses
import itertools
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator, Mapping
from types import TracebackType
from typing import Self

from egretlever.core import Address

_LOOPBACK = "127.0.0.1"
_FIRST_PORT = 12000
_PORT_COUNT = 20000  # the ephemeral ports of Linux begin at 32768
# The first port depends on the process id, so that fleets that are started by
# several processes at once rarely try the same ports.
_PORT_OFFSETS = itertools.count(os.getpid() * 331 % _PORT_COUNT)
_STOP_TIMEOUT_S = 15.0  # time for a graceful stop before the process is killed


def reserve_addresses(count: int) -> list[Address]:
    """Reserve distinct free ports on loopback.

    The ports are below the ephemeral range and none is returned twice. With
    ports chosen by the kernel, another process had taken one of them in one
    of three starts of 12 nodes and 18 servers.

    Parameters
    ----------
    count : int
        Number of addresses.

    Returns
    -------
    list of Address
        Addresses that were free for TCP and UDP when they were checked.
    """
    addresses: list[Address] = []
    while len(addresses) < count:
        port = _FIRST_PORT + next(_PORT_OFFSETS) % _PORT_COUNT
        if _is_free(port):
            addresses.append(Address(_LOOPBACK, port))
    return addresses


def _is_free(port: int) -> bool:
    with (
        socket.socket() as tcp,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
    ):
        try:
            tcp.bind((_LOOPBACK, port))
            udp.bind((_LOOPBACK, port))
        except OSError:
            return False
    return True


@dataclasses.dataclass(slots=True)
class RunningProgram:
    """A started program.

    Parameters
    ----------
    name : str
        Name of the process in the fleet.
    process : subprocess.Popen
        The process.
    log : Path
        File with its standard output and error.
    """

    name: str
    process: "subprocess.Popen[bytes]"
    log: pathlib.Path

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)


class Fleet:
    """Starts programs with settings files in a temporary folder.

    Use it as a context manager: on exit each process that still runs gets
    SIGTERM, and SIGKILL if it does not stop in time.
    """

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="egretlever-")
        self.path = pathlib.Path(self._folder.name)
        self.programs: dict[str, RunningProgram] = {}

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.stop()

    def write_settings(
        self, name: str, sections: Mapping[str, Mapping[str, object]]
    ) -> pathlib.Path:
        """Write an INI file.

        Parameters
        ----------
        name : str
            Name of the file without its extension.
        sections : mapping of str to mapping
            Values by section and key.

        Returns
        -------
        Path
            Path of the file.
        """
        lines = []
        for section, values in sections.items():
            lines.append(f"[{section}]")
            lines.extend(f"{key} = {value}" for key, value in values.items())
        path = self.path / f"{name}.ini"
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        return path

    def start(
        self,
        name: str,
        program: str,
        *arguments: object,
        environment: Mapping[str, str] | None = None,
    ) -> RunningProgram:
        """Start a program of the package.

        Parameters
        ----------
        name : str
            Name of the process, unique among the running ones.
        program : str
            Module in ``egretlever.programs``.
        *arguments : object
            Command-line arguments.
        environment : mapping of str to str, optional
            Variables that are set besides those of this process.

        Returns
        -------
        RunningProgram
            The started process.
        """
        log = self.path / f"{name}.log"
        with log.open("ab") as output:
            process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    f"egretlever.programs.{program}",
                    *map(str, arguments),
                ],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env={**os.environ, **(environment or {})},
            )
        running = RunningProgram(name, process, log)
        self.programs[name] = running
        return running

    def stop(self) -> None:
        """Stop every process that still runs and remove the folder."""
        for running in self.programs.values():
            if running.process.poll() is None:
                # A process paused by SIGSTOP gets SIGTERM when it continues.
                running.signal(signal.SIGCONT)
                running.signal(signal.SIGTERM)
        deadline = time.monotonic() + _STOP_TIMEOUT_S
        for running in self.programs.values():
            try:
                running.process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                running.process.kill()
                running.process.wait()
        self._folder.cleanup()


def wait_until(
    condition: Callable[[], bool], timeout: float = 20.0, pause: float = 0.05
) -> bool:
    """Wait until a condition holds.

    Parameters
    ----------
    condition : callable
        Called repeatedly until it returns true.
    timeout : float, default=20.0
        Longest wait, in seconds.
    pause : float, default=0.05
        Time between calls, in seconds.

    Returns
    -------
    bool
        Whether the condition held before the timeout.
    """
    return any(condition() for _ in _iterate_until_timeout(timeout, pause))


def _iterate_until_timeout(timeout: float, pause: float) -> Iterator[None]:
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        yield
        time.sleep(pause)
