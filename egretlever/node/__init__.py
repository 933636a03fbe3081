"""The node: the parts assembled into a proxy."""

from egretlever.node._chores import Chore, ChoreSchedule
from egretlever.node._node import Node, make_node

__all__ = ["Chore", "ChoreSchedule", "Node", "make_node"]
