"""Ejection limited by the floor of a service."""

from collections.abc import Callable, Iterable, Sequence

from egretlever.core import Server, ServerState, require


def choose_ejected(
    servers: Sequence[Server],
    bad: Iterable[Server],
    floor_slots: int,
    badness: Callable[[Server], float],
) -> tuple[list[Server], list[Server]]:
    """Choose the bad servers that the floor allows to eject.

    The worst evidence goes first. Only serving servers count as capacity, and
    every ejected server counts as if it were healthy.

    Parameters
    ----------
    servers : sequence of Server
        All known servers of one service.
    bad : iterable of Server
        Servers with conclusive evidence.
    floor_slots : int
        Slots that have to remain.
    badness : callable
        Strength of the evidence about a server.

    Returns
    -------
    tuple of list of Server
        Ejected servers and servers held by the floor.
    """
    capacity = sum(
        server.slots
        for server in servers
        if server.state is ServerState.SERVING
    )
    ejected: list[Server] = []
    held: list[Server] = []
    remaining = capacity
    for server in sorted(bad, key=lambda item: (-badness(item), item.id)):
        counted = server.slots if server.state is ServerState.SERVING else 0
        if counted and remaining - counted < floor_slots:
            held.append(server)
        else:
            remaining -= counted
            ejected.append(server)
    _require_floor(servers, ejected, floor_slots)
    return ejected, held


def _require_floor(
    servers: Sequence[Server], ejected: Sequence[Server], floor_slots: int
) -> None:
    serving = {
        server.id: server.slots
        for server in servers
        if server.state is ServerState.SERVING
    }
    out = sum(serving.get(server.id, 0) for server in ejected)
    left = sum(serving.values()) - out
    require(
        "ejection-above-floor",
        out == 0 or left >= floor_slots,
        f"{left} slots remain of a floor of {floor_slots}",
    )
