"""Checks of an operator's configuration before it is sent.

The decisions need no I/O. Nodes and checks use the same decoder, so that both
agree on what is an error.
"""

from egretlever.configuration_check._check import check_configuration
from egretlever.configuration_check._reports import (
    Code,
    Report,
    ReportLine,
    Severity,
    make_file_error,
)

__all__ = [
    "Code",
    "Report",
    "ReportLine",
    "Severity",
    "check_configuration",
    "make_file_error",
]
