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
# Fleets of other processes begin at other ports.
_PORTS = itertools.count(os.getpid() * 331 % _PORT_COUNT)
_STOP_TIMEOUT = 15.0  # seconds for a planned stop before the process is killed


def reserve_addresses(count: int) -> list[Address]:
    """Reserve distinct free ports on loopback.

    The ports lie below those that the kernel gives to outgoing connections,
    and none is returned twice: a port from the kernel was taken by another
    process in one start of 12 nodes and 18 servers out of three.

    Parameters
    ----------
    count : int
        Number of addresses.

    Returns
    -------
    list of Address
        Addresses that were free a moment ago, for TCP and UDP.
    """
    found: list[Address] = []
    while len(found) < count:
        port = _FIRST_PORT + next(_PORTS) % _PORT_COUNT
        if _is_free(port):
            found.append(Address(_LOOPBACK, port))
    return found


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
        Name given at the start.
    process : subprocess.Popen
        The process.
    log : Path
        File of its output.
    """

    name: str
    process: "subprocess.Popen[bytes]"
    log: pathlib.Path

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)


class Fleet:
    """Starts programs with settings in a folder of its own.

    Use it as a context manager: at the end every process that still runs is
    stopped, first by SIGTERM and then by SIGKILL.
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
            Name of the file without its ending.
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
        self, name: str, program: str, *arguments: object
    ) -> RunningProgram:
        """Start a program of the package.

        Parameters
        ----------
        name : str
            Name of the process, unique among those that run.
        program : str
            Module in ``egretlever.programs``.
        *arguments : object
            Arguments of the command line.

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
            )
        running = RunningProgram(name, process, log)
        self.programs[name] = running
        return running

    def stop(self) -> None:
        """Stop every process that still runs and remove the folder."""
        for running in self.programs.values():
            if running.process.poll() is None:
                # A paused process handles no signal but this one.
                running.signal(signal.SIGCONT)
                running.signal(signal.SIGTERM)
        until = time.monotonic() + _STOP_TIMEOUT
        for running in self.programs.values():
            try:
                running.process.wait(max(0.1, until - time.monotonic()))
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
        Asked again and again.
    timeout : float, default=20.0
        Longest wait, in seconds.
    pause : float, default=0.05
        Time between questions, in seconds.

    Returns
    -------
    bool
        Whether the condition held in time.
    """
    return any(condition() for _ in _count_pauses(timeout, pause))


def _count_pauses(timeout: float, pause: float) -> Iterator[None]:
    until = time.monotonic() + timeout
    while time.monotonic() < until:
        yield
        time.sleep(pause)
