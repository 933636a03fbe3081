"""Stand-ins of outside systems, for tests and demonstrations."""

from egretlever.standins._platform import (
    PlatformStandIn,
    make_platform_stand_in,
)
from egretlever.standins._platform_server import (
    listen_platform,
    serve_platform,
)

__all__ = [
    "PlatformStandIn",
    "listen_platform",
    "make_platform_stand_in",
    "serve_platform",
]
