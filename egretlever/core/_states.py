"""Enumerated states shared by all packages."""

import enum


class Outcome(enum.Enum):
    """Whether a request has run, as reported to its caller."""

    COMPLETED = "completed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class AttemptResult(enum.Enum):
    """Result of one attempt on one backend server.

    ``OVERDUE`` is reported while the attempt is still waiting, so that a
    server that never responds is detected before any timeout expires.
    ``STALE_CONNECTION`` means that a reused connection failed or received no
    response; it is evidence against the connection, not against the server.
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
    """Lifecycle state that a backend server announces."""

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
    """Health of a backend server as one node assesses it."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    EJECTED = "ejected"
    PROBING = "probing"
    RAMPING = "ramping"


class OrderMode(enum.Enum):
    """Handling of orders while the table service is unavailable."""

    STRICT = "strict"
    FIRST_ATTEMPT = "first-attempt"
