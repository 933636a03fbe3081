"""Limits ejection to the capacity floor of a service."""

from collections.abc import Callable, Iterable, Sequence

from egretlever.core import Server, ServerState, require


def choose_ejected(
    servers: Sequence[Server],
    bad: Iterable[Server],
    floor_slots: int,
    badness: Callable[[Server], float],
) -> tuple[list[Server], list[Server]]:
    """Choose the bad servers that may be ejected within the floor.

    Servers are ejected in the order of descending badness. Only serving
    servers count as capacity, and an ejected server is counted with all of its
    slots, as if it were healthy.

    Parameters
    ----------
    servers : sequence of Server
        All known servers of one service.
    bad : iterable of Server
        Servers with conclusive evidence.
    floor_slots : int
        Slots that must remain in service.
    badness : callable
        Returns the strength of the evidence about a server.

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
        f"ejection leaves {left} slots, below the floor of {floor_slots}",
    )
