"""Builders of test data, fakes of the stores, and the virtual clock."""

from egretlever.testing import builders
from egretlever.testing._clock import VirtualClock, replace_clock, run_virtual
from egretlever.testing._fakes import FakeObjectStore, FakeTableStore
from egretlever.testing._faults import (
    FaultyTableStore,
    SteppedObjectStore,
    SteppedTableStore,
    Stepper,
    run_steps,
)

__all__ = [
    "FakeObjectStore",
    "FakeTableStore",
    "FaultyTableStore",
    "SteppedObjectStore",
    "SteppedTableStore",
    "Stepper",
    "VirtualClock",
    "builders",
    "replace_clock",
    "run_steps",
    "run_virtual",
]
