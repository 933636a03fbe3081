"""Nodes whose servers are reachable from their own hosts only."""

from egretlever.relay._explaining import Moment, find_moments
from egretlever.relay._node import RelayNode, make_relay_node

__all__ = ["Moment", "RelayNode", "find_moments", "make_relay_node"]
