"""The node: the parts assembled into a proxy."""

from egretlever.node._node import Node, make_node

__all__ = ["Node", "make_node"]
