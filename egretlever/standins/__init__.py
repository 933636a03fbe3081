"""Stand-ins of outside systems, for tests and demonstrations."""

from egretlever.standins._answers import TOKEN, is_own_and_whole, make_body
from egretlever.standins._backend import BackendStandIn, make_backend
from egretlever.standins._load import LoadGenerator, make_load
from egretlever.standins._mix import make_mix, read_mix, write_mix
from egretlever.standins._summary import RankSummary, summarize_results

__all__ = [
    "TOKEN",
    "BackendStandIn",
    "LoadGenerator",
    "RankSummary",
    "is_own_and_whole",
    "make_backend",
    "make_body",
    "make_load",
    "make_mix",
    "read_mix",
    "summarize_results",
    "write_mix",
]
