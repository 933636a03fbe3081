"""Decisions of a home node: its server's slots, trust and lifecycle."""

from egretlever.home._lifecycle import Heartbeat, HeartbeatEffect, LocalServer
from egretlever.home._repeats import RepeatBudget
from egretlever.home._slots import FIRST_ESTIMATE, SlotQueue, SlotTicket
from egretlever.home._trust import ServerTrust

__all__ = [
    "FIRST_ESTIMATE",
    "Heartbeat",
    "HeartbeatEffect",
    "LocalServer",
    "RepeatBudget",
    "ServerTrust",
    "SlotQueue",
    "SlotTicket",
]
