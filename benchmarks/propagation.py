"""Time until accepted edits and departures are in force on every node.

Twelve nodes, the platform stand-in and backend servers run as processes on
loopback. The store is stopped by SIGSTOP at the moment of acceptance, so that
it neither answers nor refuses connections. Edits without a notification of
nodes are the behaviour before nodes were told.
"""

import json
import pathlib
import signal
import statistics
import time
import uuid

import curio

from benchmarks._report import Bound, Measure, run_benchmark
from egretlever.admin import offer_catalogue, order_server
from egretlever.catalogue import (
    Applied,
    EditRequest,
    make_catalogue_editor,
    parse_catalogue,
    render_catalogue,
)
from egretlever.core import Address, EditId, Seconds, Version
from egretlever.platform import make_object_store, make_table_store
from egretlever.schema import admin_pb2, catalogue_pb2, standins_pb2
from egretlever.standins import make_mix, write_mix
from egretlever.testing import SmallFleet, wait_until
from egretlever.transport import send_request

NODES = 12
EDITS = 20
RACES = 10
OPERATORS = 4
EDIT_TARGET = 4.0  # seconds, section 1.3 of the design
LEAVE_TARGET = 3.0  # seconds, section 1.3 of the design
_GIVE_UP = 5.0  # seconds after which an edit counts as not in force
_RECOVERY = 30.0  # seconds for the fleet to settle between edits
_POLL = 0.01  # seconds between looks at a node
_LEAVING = ("fabrics-0", "fabrics-1", "fabrics-2")
_CATALOGUE = pathlib.Path(__file__).parents[1] / "examples" / "demo.ini"


class EditBench:
    """Applies edits to a fleet and watches the nodes.

    Parameters
    ----------
    fleet : SmallFleet
        Fleet that is ready with version 1 of the example catalogue.
    """

    def __init__(self, fleet: SmallFleet) -> None:
        text = _CATALOGUE.read_text(encoding="utf-8")
        self.content = parse_catalogue(text, str(_CATALOGUE)).unwrap()
        self.version = Version(1)
        self._fleet = fleet
        self._admins = [node.admin for node in fleet.nodes.values()]

    def measure(self, stop_store: bool, tell: bool) -> float:
        """Apply an edit; return the seconds until every node has it.

        Infinity stands for an edit that some node did not have in time.
        """
        self.content.ranks[0].worth += 1
        platform = self._fleet.programs["platform"]
        try:
            return curio.run(self._measure, stop_store, tell)
        finally:
            platform.signal(signal.SIGCONT)
            self.settle()

    def settle(self) -> None:
        """Wait until every node has the version in force."""
        done = curio.run(self._watch, self.version, _RECOVERY)
        if done is None:
            raise RuntimeError(
                f"version {self.version} did not spread: {self._describe()}"
            )

    def _describe(self) -> str:
        """Describe each process that ended and each node that is behind."""
        found = [
            f"{name} ended with {running.process.returncode}"
            for name, running in self._fleet.programs.items()
            if running.process.poll() is not None
        ]
        for name, node in self._fleet.nodes.items():
            version = curio.run(read_head, node.admin).version
            if version != self.version:
                found.append(f"{name} has version {version}")
        return ", ".join(found)

    async def _measure(self, stop_store: bool, tell: bool) -> float:
        address, timeout = self._fleet.platform, Seconds(5.0)
        editor = make_catalogue_editor(
            make_table_store(address, timeout),
            make_object_store(address, timeout),
        )
        request = EditRequest(
            EditId(uuid.uuid4().hex),
            "bench",
            self.version,
            self.content,
            time.time(),
        )
        done = (await editor.apply(request)).unwrap()
        accepted_at = time.monotonic()
        if stop_store:
            platform = self._fleet.programs["platform"]
            platform.signal(signal.SIGSTOP)
        assert isinstance(done, Applied) and done.snapshot is not None
        self.version = done.head.version
        async with curio.TaskGroup(wait=all) as group:
            if tell:
                await group.spawn(
                    offer_catalogue, self._admins, done.snapshot, done.base
                )
            watch = await group.spawn(self._watch, self.version, _GIVE_UP)
        seen_at = watch.result
        return float("inf") if seen_at is None else seen_at - accepted_at

    async def _watch(self, version: Version, limit: float) -> float | None:
        until = time.monotonic() + limit
        async with curio.TaskGroup() as group:
            tasks = [
                await group.spawn(watch_node, address, version, until)
                for address in self._admins
            ]
        times = [task.result for task in tasks]
        return None if None in times else max(times)


async def read_head(admin: Address) -> catalogue_pb2.CatalogueHead:
    """Read the version in force at a node; version 0 without an answer."""
    result = await send_request(
        admin, "GET", "/catalogue", timeout=Seconds(1.0)
    )
    reply = result.value_or(None)
    if reply is None or reply.head.status != 200:
        return catalogue_pb2.CatalogueHead()
    fields = json.loads(reply.body)
    return catalogue_pb2.CatalogueHead(
        version=int(fields.get("version", 0)),
        edit_id=fields.get("edit_id", ""),
        digest=fields.get("digest", ""),
    )


async def watch_node(
    admin: Address, version: Version, until: float
) -> float | None:
    """Wait until a node has a version; return when it was seen."""
    while time.monotonic() < until:
        head = await read_head(admin)
        if head.version >= version:
            return time.monotonic()
        await curio.sleep(_POLL)
    return None


def measure_edits(bench: EditBench) -> list[Measure]:
    """Measure edits with the store healthy and stopped, nodes told or not."""
    measures = []
    for tell in (False, True):
        for stop_store in (False, True):
            name = (
                f"store {'stopped' if stop_store else 'healthy'},"
                f" nodes {'told' if tell else 'not told'}"
            )
            times = [bench.measure(stop_store, tell) for _ in range(EDITS)]
            measures.extend(summarize_edits(name, times, tell))
    return measures


def summarize_edits(name: str, times: list[float], tell: bool) -> list[Measure]:
    """Make the measures of one kind of edits; only told nodes have a bound."""
    bound = Bound.AT_MOST if tell else Bound.NONE
    late = sum(value > EDIT_TARGET for value in times)
    return [
        Measure(f"{name}: median", statistics.median(times), "s"),
        Measure(f"{name}: longest", max(times), "s", EDIT_TARGET, bound),
        Measure(
            f"{name}: edits of {len(times)} over 4 s", late, "", 0.0, bound
        ),
    ]


def measure_races(bench: EditBench, fleet: SmallFleet) -> list[Measure]:
    """Let operators edit the same version at once."""
    wrong = 0
    times = []
    for _ in range(RACES):
        running = []
        for number in range(OPERATORS):
            bench.content.ranks[0].worth += 1
            path = fleet.path / f"race-{number}.ini"
            path.write_text(render_catalogue(bench.content), "utf-8")
            running.append(
                fleet.start_ctl(
                    "catalogue", "apply", path, "--base", bench.version
                )
            )
        for process in running:
            process.communicate()
        codes = sorted(process.returncode for process in running)
        ended_at = time.monotonic()
        bench.version = Version(bench.version + 1)
        bench.settle()
        times.append(time.monotonic() - ended_at)
        heads = [
            curio.run(read_head, node.admin).SerializeToString()
            for node in fleet.nodes.values()
        ]
        wrong += codes != [0] + [1] * (OPERATORS - 1) or len(set(heads)) > 1
    return [
        Measure(
            f"races of {RACES} without exactly one winner on every node",
            wrong,
            "",
            0.0,
            Bound.AT_MOST,
        ),
        Measure(
            "race: longest time from the operators' end to every node",
            max(times),
            "s",
            EDIT_TARGET,
            Bound.AT_MOST,
        ),
    ]


def measure_departures(fleet: SmallFleet, seed: int) -> list[Measure]:
    """Stop servers under load at their home nodes."""
    request = standins_pb2.LoadRequest(
        method="GET",
        path="/fabrics/silk",
        rank="browse",
        answer_bytes=500,
        deadline_s=1,
        worth=1,
    )
    mix = fleet.path / "mix.jsonl"
    write_mix(mix, make_mix([(request, 200.0)], 20.0, seed))
    nodes = ", ".join(str(node.traffic) for node in fleet.nodes.values())
    settings = fleet.write_settings("load", {"load": {"nodes": nodes}})
    load = fleet.start("load", "load", "play", settings, mix)
    time.sleep(4)
    stopped_at = {}
    for server in _LEAVING:
        order = admin_pb2.ServerOrder(server=server, operator="bench")
        home = f"node-{server.rpartition('-')[2]}"
        stopped_at[server] = time.time()
        curio.run(order_server, fleet.nodes[home].admin, order).unwrap()
        time.sleep(4)
    load.process.wait()
    records = fleet.read_records()
    last = [
        max((one.at_unix_s for one in records[server]), default=0.0) - began
        for server, began in stopped_at.items()
    ]
    before = min(
        sum(one.at_unix_s <= began for one in records[server])
        for server, began in stopped_at.items()
    )
    return [
        Measure("requests of a server before its stop: least", before, ""),
        Measure(
            f"last new request after {len(last)} planned stops: latest",
            max(0.0, *last),
            "s",
            LEAVE_TARGET,
            Bound.AT_MOST,
        ),
    ]


def start_fleet(fleet: SmallFleet) -> None:
    """Start all processes and publish the first version."""
    fleet.start_platform()
    fleet.start_nodes(NODES)
    for service in ("ordering", "fabrics", "classroom"):
        for number in range(6):
            name = f"{service}-{number}"
            fleet.start_server(name, service, f"node-{number}")
    fleet.apply_catalogue(_CATALOGUE)
    if not wait_until(lambda: fleet.wait_ready(18), _RECOVERY):
        raise RuntimeError("the fleet did not become ready")


def run(seed: int) -> list[Measure]:
    """Measure edits, races and departures in one fleet of processes."""
    with SmallFleet() as fleet:
        start_fleet(fleet)
        bench = EditBench(fleet)
        return [
            *measure_edits(bench),
            *measure_races(bench, fleet),
            *measure_departures(fleet, seed),
        ]


if __name__ == "__main__":
    run_benchmark("propagation", run)
