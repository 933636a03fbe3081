"""Builders of test data, fakes of the stores, and the virtual clock."""

from egretlever.testing import builders
from egretlever.testing._clock import VirtualClock, replace_clock, run_virtual
from egretlever.testing._fakes import FakeObjectStore, FakeTableStore
from egretlever.testing._fleet import (
    Fleet,
    RunningProgram,
    reserve_addresses,
    wait_until,
)
from egretlever.testing._gossip import FakeCatalogueCopy, GossipNetwork

__all__ = [
    "FakeCatalogueCopy",
    "FakeObjectStore",
    "FakeTableStore",
    "Fleet",
    "RunningProgram",
    "GossipNetwork",
    "VirtualClock",
    "builders",
    "replace_clock",
    "reserve_addresses",
    "run_virtual",
    "wait_until",
]
