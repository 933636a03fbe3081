"""Relay nodes: proxies whose servers can be reached only from their own hosts.

Each host runs one relay node and one server. As an entry node it accepts the
requests of its host's clients and offers each one to a home node. As a home
node it runs offered requests at the server of its host, or refuses them.
"""

from egretlever.relay._explaining import LogEntry, find_log_entries
from egretlever.relay._node import RelayNode, make_relay_node

__all__ = ["LogEntry", "RelayNode", "find_log_entries", "make_relay_node"]
