"""Decisions of a home node, the relay node on the host of a backend server.

They cover the lifecycle and the slots of its server, the circuit breaker that
guards it, and the budget of retries that it may be sent.
"""

from egretlever.home._attempt_limits import (
    AttemptLimits,
    make_attempt_limits,
)
from egretlever.home._call_routes import CallRoutes
from egretlever.home._circuit_breaker import CircuitBreaker
from egretlever.home._fair_order import CustomerShare, FairOrder, FairPlace
from egretlever.home._lifecycle import Heartbeat, HeartbeatEffect, LocalServer
from egretlever.home._rate_limit import RateLimit
from egretlever.home._retry_budget import (
    RetryCounts,
    RetryKind,
    WindowRetryBudget,
)
from egretlever.home._signals import ServerSignals
from egretlever.home._slots import INITIAL_SERVICE_TIME, SlotQueue
from egretlever.home._waiting import SlotTicket

__all__ = [
    "INITIAL_SERVICE_TIME",
    "AttemptLimits",
    "CallRoutes",
    "CircuitBreaker",
    "CustomerShare",
    "FairOrder",
    "FairPlace",
    "Heartbeat",
    "HeartbeatEffect",
    "LocalServer",
    "RateLimit",
    "RetryCounts",
    "RetryKind",
    "ServerSignals",
    "SlotQueue",
    "SlotTicket",
    "WindowRetryBudget",
    "make_attempt_limits",
]
