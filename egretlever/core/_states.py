"""Enumerated states that every part of the system shares."""

import enum


class Outcome(enum.Enum):
    """What a caller may conclude about its request."""

    COMPLETED = "completed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class AttemptResult(enum.Enum):
    """How one attempt on one backend server ended.

    ``OVERDUE`` is reported while the attempt is still waiting, so that a
    server that swallows requests is seen before any timeout expires.
    ``STALE_CONNECTION`` means that a reused connection failed or stayed
    silent; it speaks against the connection and not against the server.
    """

    OK = "ok"
    ERROR = "error"
    SHED = "shed"
    REFUSED = "refused"
    CONNECT_TIMEOUT = "connect-timeout"
    TIMEOUT = "timeout"
    CUT = "cut"
    OVERDUE = "overdue"
    CANCELLED = "cancelled"
    STALE_CONNECTION = "stale-connection"


class ServerState(enum.Enum):
    """Lifecycle of a backend server as it announces it."""

    COLD = "cold"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"


class NodeState(enum.Enum):
    """Liveness of a node as the other nodes see it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


class Health(enum.Enum):
    """Judgement of one node about one backend server."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    EJECTED = "ejected"
    PROBING = "probing"
    RAMPING = "ramping"


class OrderMode(enum.Enum):
    """How orders are handled while the table service is away."""

    STRICT = "strict"
    FIRST_ATTEMPT = "first-attempt"
