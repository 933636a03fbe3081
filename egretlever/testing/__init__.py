"""Builders of test data and the virtual clock."""

from egretlever.testing import builders
from egretlever.testing._clock import VirtualClock, replace_clock, run_virtual

__all__ = ["VirtualClock", "builders", "replace_clock", "run_virtual"]
