"""The node: a proxy assembled from decision parts, sockets and loops.

Decision parts, such as admission, routing and detection, decide without input
or output; the node passes events to them and carries out their decisions.
"""

from egretlever.node._maintenance import MaintenanceTask, TaskSchedule
from egretlever.node._node import Node, make_node
from egretlever.node._selection_cache import SelectionCache
from egretlever.node._view import FleetView

__all__ = [
    "FleetView",
    "MaintenanceTask",
    "Node",
    "SelectionCache",
    "TaskSchedule",
    "make_node",
]
