"""Test support: builders, fake stores, process fleets, a virtual clock."""

from egretlever.testing import builders
from egretlever.testing._clock import VirtualClock, replace_clock, run_virtual
from egretlever.testing._fakes import FakeObjectStore, FakeTableStore
from egretlever.testing._flaky_store import FlakyTableStore, pause_step
from egretlever.testing._fleet import (
    Fleet,
    RunningProgram,
    reserve_addresses,
    wait_until,
)
from egretlever.testing._gossip import (
    FakeCatalogueCopy,
    GossipNetwork,
    SharedPacker,
)
from egretlever.testing._load_run_check import LoadRunCheck, check_load_run
from egretlever.testing._order_fixture import OrderFixture
from egretlever.testing._proxy_fixture import (
    Caller,
    ProxyFixture,
    build_node_settings,
    run_with_proxy,
)
from egretlever.testing._scripted_server import (
    ServerExchange,
    answer,
    send_raw,
    stay_silent,
)
from egretlever.testing._small_fleet import NodeAddresses, SmallFleet
from egretlever.testing._stepped_stores import (
    FaultyTableStore,
    SteppedObjectStore,
    SteppedTableStore,
    Stepper,
    run_steps,
)

__all__ = [
    "Caller",
    "FakeCatalogueCopy",
    "FakeObjectStore",
    "FakeTableStore",
    "FaultyTableStore",
    "FlakyTableStore",
    "Fleet",
    "GossipNetwork",
    "LoadRunCheck",
    "NodeAddresses",
    "OrderFixture",
    "ProxyFixture",
    "RunningProgram",
    "ServerExchange",
    "SharedPacker",
    "SmallFleet",
    "SteppedObjectStore",
    "SteppedTableStore",
    "Stepper",
    "VirtualClock",
    "answer",
    "build_node_settings",
    "builders",
    "check_load_run",
    "pause_step",
    "replace_clock",
    "reserve_addresses",
    "run_steps",
    "run_virtual",
    "run_with_proxy",
    "send_raw",
    "stay_silent",
    "wait_until",
]
