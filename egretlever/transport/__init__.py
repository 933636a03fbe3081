"""HTTP/1.1, datagrams and framed messages on curio."""

from egretlever.transport._datagrams import (
    DatagramEndpoint,
    DatagramFaults,
    InjectedFaults,
    NoFaults,
)

__all__ = [
    "DatagramEndpoint",
    "DatagramFaults",
    "InjectedFaults",
    "NoFaults",
]
