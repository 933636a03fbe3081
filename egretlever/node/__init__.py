"""The node: the parts assembled into a proxy."""

from egretlever.node._maintenance import MaintenanceTask, TaskSchedule
from egretlever.node._node import Node, make_node
from egretlever.node._selections import Selections
from egretlever.node._view import FleetView

__all__ = [
    "MaintenanceTask",
    "TaskSchedule",
    "FleetView",
    "Node",
    "Selections",
    "make_node",
]
