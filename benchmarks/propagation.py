"""Time until accepted edits and departures are in force on every node.

Twelve nodes, the platform stand-in and backend servers run as processes on
loopback. Stopping the store with SIGSTOP at the moment of acceptance leaves it
neither answering nor refusing connections. Edits of which the nodes are not
notified are measured for comparison.
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
_EDIT_TIMEOUT = 5.0  # seconds after which an edit counts as not in force
_RECOVERY = 30.0  # seconds for all nodes to get a version between edits
_POLL = 0.01  # seconds between two requests to a node
_STOPPED_SERVERS = ("fabrics-0", "fabrics-1", "fabrics-2")
_CATALOGUE = pathlib.Path(__file__).parents[1] / "examples" / "demo.ini"


class EditBench:
    """Applies edits to a fleet and measures when the nodes have them.

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

    def measure(self, stop_store: bool, notify: bool) -> float:
        """Apply an edit; return the seconds until it is in force everywhere.

        Return infinity if some node did not get the edit in time.
        """
        self.content.ranks[0].worth += 1
        platform = self._fleet.programs["platform"]
        try:
            return curio.run(self._measure, stop_store, notify)
        finally:
            platform.signal(signal.SIGCONT)
            self.settle()

    def settle(self) -> None:
        """Wait until the version is in force on every node."""
        in_force_at = curio.run(self._wait_for_version, self.version, _RECOVERY)
        if in_force_at is None:
            raise RuntimeError(
                f"version {self.version} is not on every node in time:"
                f" {self._describe()}"
            )

    def _describe(self) -> str:
        """Describe the processes that ended and the nodes that lag behind."""
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

    async def _measure(self, stop_store: bool, notify: bool) -> float:
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
        edit_result = (await editor.apply(request)).unwrap()
        accepted_at = time.monotonic()
        if stop_store:
            platform = self._fleet.programs["platform"]
            platform.signal(signal.SIGSTOP)
        assert (
            isinstance(edit_result, Applied)
            and edit_result.snapshot is not None
        )
        self.version = edit_result.head.version
        async with curio.TaskGroup(wait=all) as group:
            if notify:
                await group.spawn(
                    offer_catalogue,
                    self._admins,
                    edit_result.snapshot,
                    edit_result.base,
                )
            waiting_task = await group.spawn(
                self._wait_for_version, self.version, _EDIT_TIMEOUT
            )
        in_force_at = waiting_task.result
        return (
            float("inf") if in_force_at is None else in_force_at - accepted_at
        )

    async def _wait_for_version(
        self, version: Version, limit: float
    ) -> float | None:
        until = time.monotonic() + limit
        async with curio.TaskGroup() as group:
            tasks = [
                await group.spawn(wait_for_version, address, version, until)
                for address in self._admins
            ]
        times = [task.result for task in tasks]
        return None if None in times else max(times)


async def read_head(admin: Address) -> catalogue_pb2.CatalogueHead:
    """Read the version in force at a node, 0 without an answer."""
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


async def wait_for_version(
    admin: Address, version: Version, until: float
) -> float | None:
    """Wait until a node has a version; return the time, None if too late."""
    while time.monotonic() < until:
        head = await read_head(admin)
        if head.version >= version:
            return time.monotonic()
        await curio.sleep(_POLL)
    return None


def measure_edits(bench: EditBench) -> list[Measure]:
    """Measure edits by state of the store, with and without notification."""
    measures = []
    for notify in (False, True):
        for stop_store in (False, True):
            name = (
                f"store {'stopped' if stop_store else 'healthy'},"
                f" nodes {'told' if notify else 'not told'}"
            )
            times = [bench.measure(stop_store, notify) for _ in range(EDITS)]
            measures.extend(summarize_edits(name, times, notify))
    return measures


def summarize_edits(
    name: str, times: list[float], notify: bool
) -> list[Measure]:
    """Return the measures of one kind of edit, with targets if notified."""
    bound = Bound.AT_MOST if notify else Bound.NONE
    late = sum(value > EDIT_TARGET for value in times)
    return [
        Measure(f"{name}: median", statistics.median(times), "s"),
        Measure(f"{name}: longest", max(times), "s", EDIT_TARGET, bound),
        Measure(
            f"{name}: edits of {len(times)} over 4 s", late, "", 0.0, bound
        ),
    ]


def measure_races(bench: EditBench, fleet: SmallFleet) -> list[Measure]:
    """Measure concurrent edits of the same version by several operators."""
    failed_races = 0
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
        failed_races += (
            codes != [0] + [1] * (OPERATORS - 1) or len(set(heads)) > 1
        )
    return [
        Measure(
            f"races of {RACES} without exactly one winner on every node",
            failed_races,
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
    """Measure planned stops of servers under load, at their home nodes."""
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
    for server in _STOPPED_SERVERS:
        order = admin_pb2.ServerOrder(server=server, operator="bench")
        home = f"node-{server.rpartition('-')[2]}"
        stopped_at[server] = time.time()
        curio.run(order_server, fleet.nodes[home].admin, order).unwrap()
        time.sleep(4)
    load.process.wait()
    records = fleet.read_records()
    last = [
        max((record.at_unix_s for record in records[server]), default=0.0)
        - stopped_time
        for server, stopped_time in stopped_at.items()
    ]
    before = min(
        sum(record.at_unix_s <= stopped_time for record in records[server])
        for server, stopped_time in stopped_at.items()
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
