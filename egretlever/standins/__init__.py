"""Stand-ins: simulators of outside systems, for tests and demonstrations.

Each stand-in speaks the real protocol of the system that it simulates: a
backend server, the platform's stores, or the callers of the proxy.
"""

from egretlever.standins._answers import (
    TOKEN_HEADER,
    is_expected_body,
    make_body,
)
from egretlever.standins._backend import BackendStandIn, make_backend
from egretlever.standins._load import LoadGenerator, make_load_generator
from egretlever.standins._mix import make_mix, read_mix, write_mix
from egretlever.standins._platform import (
    PlatformStandIn,
    make_platform_stand_in,
)
from egretlever.standins._platform_server import (
    listen_platform,
    serve_platform,
)
from egretlever.standins._rows import RowsFault, RowsStandIn, SharedLink
from egretlever.standins._summary import RankSummary, summarize_results

__all__ = [
    "TOKEN_HEADER",
    "BackendStandIn",
    "LoadGenerator",
    "PlatformStandIn",
    "RankSummary",
    "RowsFault",
    "RowsStandIn",
    "SharedLink",
    "is_expected_body",
    "listen_platform",
    "make_backend",
    "make_body",
    "make_load_generator",
    "make_mix",
    "make_platform_stand_in",
    "read_mix",
    "serve_platform",
    "summarize_results",
    "write_mix",
]
