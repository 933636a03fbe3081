"""Identifiers, states and records shared by all packages."""

from egretlever.core._findings import (
    Finding,
    FindingsError,
)
from egretlever.core._ids import (
    CallerId,
    CustomerId,
    Digest,
    EditId,
    FailureDomain,
    HostName,
    Incarnation,
    NodeId,
    OrderKey,
    RankName,
    RegionName,
    RequestId,
    RouteId,
    Seconds,
    ServerId,
    ServiceName,
    StoreEra,
    Version,
)
from egretlever.core._invariants import (
    InvariantError,
    require,
)
from egretlever.core._logs import (
    Log,
    make_log,
)
from egretlever.core._parameters import (
    Interval,
    check_parameters,
)
from egretlever.core._records import (
    Address,
    Attempt,
    Server,
)
from egretlever.core._states import (
    AttemptResult,
    Health,
    NodeState,
    OrderMode,
    Outcome,
    ServerState,
)
from egretlever.core._store_versions import (
    NO_ERA,
    describe_version,
    find_era,
    find_number,
    join_version,
)

__all__ = [
    "NO_ERA",
    "Address",
    "Attempt",
    "AttemptResult",
    "CallerId",
    "CustomerId",
    "Digest",
    "EditId",
    "FailureDomain",
    "Finding",
    "FindingsError",
    "Health",
    "HostName",
    "Incarnation",
    "Interval",
    "InvariantError",
    "Log",
    "NodeId",
    "NodeState",
    "OrderKey",
    "OrderMode",
    "Outcome",
    "RankName",
    "RegionName",
    "RequestId",
    "RouteId",
    "Seconds",
    "Server",
    "ServerId",
    "ServerState",
    "ServiceName",
    "StoreEra",
    "Version",
    "check_parameters",
    "describe_version",
    "find_era",
    "find_number",
    "join_version",
    "make_log",
    "require",
]
