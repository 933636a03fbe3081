"""Faults and service sizes of the detection model."""

import dataclasses
import enum


class Fault(enum.Enum):
    """Fault of one server, or of the load, nodes and links around it."""

    NONE = "none"
    BLACK_HOLE = "black hole"
    REFUSED = "refused"
    ONE_WAY_PART = "one-way, a quarter of the nodes"
    SLOW = "5x slow"
    VERY_SLOW = "10x slow"
    ERRORS = "30% errors"
    FLAPPING = "flapping"
    LYING = "lying health"
    FLOOD = "flood"
    PAUSED_NODE = "paused node"
    LOST_LINK = "lost link"


SLOWNESS = {Fault.SLOW: 5, Fault.VERY_SLOW: 10}


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Size of a service as the nodes of one region see it.

    Parameters
    ----------
    name : str
        Name of the deployment.
    nodes : int
        Nodes of the region that use the service.
    servers, remote : int
        Servers of the own region and of the other region.
    slots : int
        Slots per server.
    rate : float
        Requests per second and server.
    """

    name: str
    nodes: int
    servers: int
    remote: int
    slots: int
    rate: float


# Nodes and servers of one region. At the design size a service has 37
# servers, about half of them in each region, and 100 nodes per server.
DESIGN = Size("design", 100, 18, 19, 8, 6.4)
KAPRA = Size("Kapra", 10, 6, 5, 4, 40.0)
SABLAT = Size("Sablat", 11, 7, 7, 3, 30.0)
SIZES = (DESIGN, KAPRA, SABLAT)
# The demonstration: two nodes and two servers of a service in each region.
TWO_NODES = Size("two nodes", 2, 2, 2, 4, 10.0)
