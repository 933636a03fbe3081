"""The node: the parts assembled into a proxy."""

from egretlever.node._chores import Chore, ChoreSchedule
from egretlever.node._node import Node, make_node
from egretlever.node._selections import Selections
from egretlever.node._view import FleetView

__all__ = [
    "Chore",
    "ChoreSchedule",
    "FleetView",
    "Node",
    "Selections",
    "make_node",
]
