"""Load patterns for replays: fleet sizes, load bursts and gray servers."""

import dataclasses

from egretlever.core import FailureDomain, Seconds, ServiceName
from egretlever.platform import Bounds
from egretlever.testing._relay_patterns import (
    Burst,
    LoadPattern,
    Outage,
    RequestKind,
)

DESK = ServiceName("desk")
HUB = ServiceName("hub")


def build_kinds(scale: float = 1.0) -> tuple[RequestKind, ...]:
    """Build reads, orders, slow lists and fast urgent views.

    Parameters
    ----------
    scale : float, default=1.0
        Factor of all rates.
    """
    seconds = Seconds
    return (
        RequestKind(
            name="lesson",
            service=DESK,
            rate=15.9 * scale,
            work=seconds(0.22),
            objective=seconds(0.8),
            timeout=seconds(2.0),
            rank=1,
            worth=0.88,
            late_worth=0.26,
            calls=("lookup", 1.4),
        ),
        RequestKind(
            name="order",
            service=DESK,
            rate=40.1 * scale,
            work=seconds(0.29),
            objective=seconds(0.8),
            timeout=seconds(2.5),
            rank=1,
            worth=1.8,
            late_worth=0.53,
            idempotent=False,
        ),
        RequestKind(
            name="list",
            service=HUB,
            rate=11.8 * scale,
            work=seconds(0.55),
            objective=seconds(3.0),
            timeout=seconds(5.0),
            rank=2,
            worth=0.44,
            late_worth=0.2,
        ),
        RequestKind(
            name="view",
            service=HUB,
            rate=13.1 * scale,
            work=seconds(0.088),
            objective=seconds(0.25),
            timeout=seconds(1.0),
            rank=0,
            worth=3.4,
            late_worth=0.4,
        ),
        RequestKind(
            name="lookup",
            service=HUB,
            rate=0.0,
            work=seconds(0.055),
            objective=seconds(0.2),
            timeout=seconds(0.6),
            rank=1,
            worth=0.0,
            late_worth=0.0,
        ),
    )


def build_pattern(
    scale: float = 1.0, size: int = 1, **changes: object
) -> LoadPattern:
    """Build a fleet of two regions with two unequal failure domains each.

    In each cycle, each server is gray with probability 0.3. On ordinary days
    about a third of the servers are gray at times.

    Parameters
    ----------
    scale : float, default=1.0
        Load of each server, relative to the usual load.
    size : int, default=1
        Factor of the number of hosts and of the rates.
    **changes
        Replaced fields of the pattern.
    """
    hosts = []
    for region in ("north", "south"):
        for place, desks in (("a", 5), ("b", 2)):
            domain = FailureDomain(f"{region}-{place}")
            hosts.append((domain, DESK, desks * size))
            hosts.append((domain, HUB, 2 * size))
    pattern = LoadPattern(
        kinds=build_kinds(scale * size),
        hosts=tuple(hosts),
        outages=(Outage(0.0, 60.0, 0.3),),
        bounds=Bounds(retry_ratio=0.2, retry_slack=60.0 * (1 + size) / 2),
    )
    return dataclasses.replace(pattern, **changes)  # type: ignore[arg-type]


def build_flood(kind: str, factor: float, **changes: object) -> LoadPattern:
    """Build a pattern with a burst of one kind from 8 s to 16 s."""
    return build_pattern(bursts=(Burst(kind, 8.0, 16.0, factor),), **changes)  # type: ignore[arg-type]


def build_crowd(
    choosers: int, servers: tuple[int, ...], factor: float
) -> LoadPattern:
    """Build a burst of 2 s, with reports that are 0.1 s old on arrival.

    Parameters
    ----------
    choosers : int
        Entry nodes of the fleet, the same number in each failure domain.
    servers : tuple of int
        Servers in each failure domain, all of one service.
    factor : float
        Arrivals in the burst, as a share of the capacity.
    """
    names = ("north-a", "south-a", "north-b", "south-b")[: len(servers)]
    hosts = []
    for name, count in zip(names, servers, strict=True):
        domain = FailureDomain(name)
        hosts.append((domain, DESK, count))
        hosts.append((domain, HUB, choosers // len(servers) - count))
    kind = RequestKind(
        name="order",
        service=DESK,
        rate=0.5 * sum(servers) * 4 / 0.2,
        work=Seconds(0.2),
        objective=Seconds(1.2),
        timeout=Seconds(4.0),
        rank=1,
        worth=1.0,
        late_worth=0.3,
    )
    return LoadPattern(
        kinds=(kind,),
        hosts=tuple(hosts),
        slots=4,
        length=Seconds(4.0),
        bursts=(Burst("order", 1.0, 3.0, 2.0 * factor),),
        notice_delay=0.1,
    )


def build_overload() -> LoadPattern:
    """Build the worst load: a burst of slow lists while half is gray."""
    return build_pattern(
        scale=1.5,
        bursts=(Burst("list", 4.0, 10.0, 2.1),),
        outages=(Outage(0.0, 60.0, 0.3), Outage(4.0, 12.0, 0.3, 8.0)),
    )
