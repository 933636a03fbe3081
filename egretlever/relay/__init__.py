"""Nodes whose servers are reachable from their own hosts only."""

from egretlever.relay._node import RelayNode, make_relay_node

__all__ = ["RelayNode", "make_relay_node"]
