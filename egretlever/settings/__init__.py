"""Program settings: INI files parsed into schema messages."""

from egretlever.settings._fields import (
    fill_message,
    parse_address,
    parse_duration,
)
from egretlever.settings._files import (
    Findings,
    parse_sections,
    parse_settings,
    read_settings,
)

__all__ = [
    "Findings",
    "fill_message",
    "parse_address",
    "parse_duration",
    "parse_sections",
    "parse_settings",
    "read_settings",
]
