"""What the limits of a machine leave for connections and held bytes."""

import dataclasses
from collections.abc import Callable

from egretlever.memory._account import CONNECTION_BYTES, ByteAccount
from egretlever.memory._pressure import PressureLog

_MIB = 1 << 20
# Hosts with less memory name it.
_DEFAULT_MEMORY_MB = 200
# Program, tables of a large fleet and fragmentation of the heap.
_PROGRAM_BYTES = 72 * _MIB
# A machine that is smaller than the program still serves short requests.
_MIN_ACCOUNT_SHARE = 0.2
# Share of the account that only short requests and answers use.
_RESERVED_SHARE = 0.25
# Share of the account that idle connections may use.
_CONNECTION_SHARE = 0.5
# Listeners, the store, logs and idle connections to servers.
_RESERVED_FILES = 64
# A request may need a connection to a server or another node as well.
_FILES_PER_CONNECTION = 2
_MIN_CONNECTIONS = 4
_MAX_CONNECTIONS = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessLimits:
    """Limits that a machine sets for the process.

    Parameters
    ----------
    memory_mb : int, default=0
        Memory in MiB; 0 means 200.
    max_open_files : int, default=0
        File descriptors; 0 means that the system's limit is large enough.
    """

    memory_mb: int = 0
    max_open_files: int = 0


def _ignore(event: str, kind: str) -> None:
    """Count nothing."""


def make_byte_account(
    limits: ProcessLimits,
    most_connections: int = _MAX_CONNECTIONS,
    count: Callable[[str, str], None] = _ignore,
) -> ByteAccount:
    """Make the account of a process.

    Parameters
    ----------
    limits : ProcessLimits
        Limits of the machine.
    most_connections : int, default=2000
        Bound of the clients' connections on a large machine.
    count : callable, optional
        Counts refusals and drops, by event and kind of bytes.
    """
    memory = (limits.memory_mb or _DEFAULT_MEMORY_MB) * _MIB
    total = max(memory - _PROGRAM_BYTES, int(memory * _MIN_ACCOUNT_SHARE))
    connections = int(total * _CONNECTION_SHARE) // CONNECTION_BYTES
    if limits.max_open_files:
        files = limits.max_open_files - _RESERVED_FILES
        connections = min(connections, files // _FILES_PER_CONNECTION)
    connections = max(_MIN_CONNECTIONS, min(connections, most_connections))
    reserved = int(total * _RESERVED_SHARE)
    return ByteAccount(total, reserved, connections, PressureLog(count).report)
