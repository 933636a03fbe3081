"""Store maintenance of chosen nodes: address samples and the claim sweep.

One reader node of each region writes a sample of live gossip addresses, from
which a node can join when none of its seeds answers. One node of the fleet
removes expired order claims.
"""

import dataclasses
import enum
import math
import random
import time
from collections.abc import Sequence
from typing import Protocol

from google.protobuf.message import DecodeError
from returns.result import Failure, Result

from egretlever.core import (
    Address,
    NodeId,
    NodeState,
    RegionName,
    Seconds,
    make_log,
)
from egretlever.membership import NodeSnapshot
from egretlever.node import _metrics as metrics
from egretlever.orders import SweepReport, choose_sweeper
from egretlever.platform import Row, StoreError, TableStore
from egretlever.schema import gossip_pb2
from egretlever.transport import read_clock

_LOG = make_log("maintenance")
SAMPLE_PREFIX = "members/sample/"
SAMPLE_SIZE = 16  # addresses in a region; a joining node tries two per round
_MAX_REGIONS = 8
_SAMPLE_INTERVAL = 30.0  # seconds
# Even with jitter shorter than the second between two runs, so that each run
# sweeps a page: 100 claims a second, which is 8.6 million claims a day.
_SWEEP_PAGE_INTERVAL = 0.8  # seconds
# Claims are kept for 7 days, so there is no need to start passes more often.
_SWEEP_PASS_INTERVAL = 3600.0  # seconds
_BACKOFF = 30.0  # seconds after a failed store operation
_JITTER = 0.2  # of each interval, in both directions
_NEVER = Seconds(math.inf)


class MaintenanceTask(enum.Enum):
    """Kind of maintenance task."""

    READ_SAMPLE = "read-sample"
    WRITE_SAMPLE = "write-sample"
    SWEEP = "sweep"


class TaskSchedule:
    """Decides when a node reads or writes the address sample or sweeps claims.

    Parameters
    ----------
    generator : random.Random
        Source of jitter.

    Examples
    --------
    >>> schedule = TaskSchedule(random.Random(1))
    >>> schedule.set_roles(writes_sample=True, sweeps=False, now=Seconds(0.0))
    >>> schedule.advance(Seconds(0.0)), schedule.advance(Seconds(36.0))
    ([], [<MaintenanceTask.WRITE_SAMPLE: 'write-sample'>])
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._sample_requested = False
        self._due = {
            MaintenanceTask.WRITE_SAMPLE: _NEVER,
            MaintenanceTask.SWEEP: _NEVER,
        }

    def request(self, now: Seconds) -> None:
        """Request the sample; membership calls this while no seed answers."""
        self._sample_requested = True

    def set_roles(
        self, writes_sample: bool, sweeps: bool, now: Seconds
    ) -> None:
        """Set the tasks that this node is responsible for."""
        self._set_role(MaintenanceTask.WRITE_SAMPLE, writes_sample, now)
        self._set_role(MaintenanceTask.SWEEP, sweeps, now)

    def _set_role(
        self, task: MaintenanceTask, chosen: bool, now: Seconds
    ) -> None:
        if not chosen:
            self._due[task] = _NEVER
        elif self._due[task] == _NEVER:
            # A role that changes back and forth, as when the fleet starts, then
            # causes no load before it has been stable for a while.
            wait = self._generator.uniform(0, _SAMPLE_INTERVAL)
            self._due[task] = Seconds(now + wait)

    def advance(self, now: Seconds) -> list[MaintenanceTask]:
        """Return the tasks that are due."""
        found = [task for task, due in self._due.items() if now >= due]
        for task in found:
            self._reschedule(task, _SAMPLE_INTERVAL, now)
        if self._sample_requested:
            self._sample_requested = False
            found.append(MaintenanceTask.READ_SAMPLE)
        return found

    def observe_sweep(self, report: SweepReport | None, now: Seconds) -> None:
        """Reschedule the sweep after a page, None when the store failed."""
        if report is None:
            wait = _BACKOFF
        else:
            wait = (
                _SWEEP_PASS_INTERVAL
                if report.finished
                else _SWEEP_PAGE_INTERVAL
            )
        self._reschedule(MaintenanceTask.SWEEP, wait, now)

    def _reschedule(
        self, task: MaintenanceTask, wait: float, now: Seconds
    ) -> None:
        if self._due[task] != _NEVER:
            spread = self._generator.uniform(1 - _JITTER, 1 + _JITTER)
            self._due[task] = Seconds(now + wait * spread)


class SampleReceiver(Protocol):
    """Receiver of the address sample, the gossip overlay."""

    def receive_address_sample(self, addresses: Sequence[Address]) -> None:
        """Receive the sample of live addresses that was requested."""


class Sweep(Protocol):
    """Removes expired claims, one page at a time."""

    async def expire(self) -> Result[SweepReport, StoreError]:
        """Read a page of claims and remove the expired ones."""


@dataclasses.dataclass(slots=True)
class StoreMaintenance:
    """Runs the maintenance tasks that are due.

    Parameters
    ----------
    node : NodeId
        This node.
    region : RegionName
        Region of this node, whose sample it may write.
    schedule : TaskSchedule
        Decides which tasks are due.
    table : TableStore
        Table service.
    sweep : Sweep
        Removes expired claims.
    members : SampleReceiver
        Receives the addresses that were read.
    generator : random.Random
        Chooses the addresses of the sample.
    live_addresses : tuple of Address
        Gossip addresses of the live nodes of the region.
    """

    node: NodeId
    region: RegionName
    schedule: TaskSchedule
    table: TableStore
    sweep: Sweep
    members: SampleReceiver
    generator: random.Random
    live_addresses: tuple[Address, ...] = ()

    def choose_roles(
        self,
        readers: Sequence[NodeId],
        nodes: Sequence[NodeSnapshot],
        now: Seconds,
    ) -> None:
        """Choose the roles of this node.

        A region's reader nodes are those that poll the store for new versions
        of the catalogue; the first of them writes the sample.
        """
        alive = [node for node in nodes if node.state is NodeState.ALIVE]
        self.live_addresses = tuple(
            node.gossip for node in alive if node.region == self.region
        )
        sweeper = choose_sweeper(node.id for node in alive)
        self.schedule.set_roles(
            self.node in readers[:1], sweeper == self.node, now
        )

    async def run(self) -> None:
        """Run the tasks that are due; failed ones are counted and retried."""
        for task in self.schedule.advance(read_clock()):
            if task is MaintenanceTask.READ_SAMPLE:
                await self._read_sample()
            elif task is MaintenanceTask.WRITE_SAMPLE:
                await self._write_sample()
            else:
                await self._sweep_page()

    async def _read_sample(self) -> None:
        result = await self.table.scan(SAMPLE_PREFIX, _MAX_REGIONS, "")
        if isinstance(result, Failure):
            self._count(result.failure())
            return
        addresses = decode_sample(result.unwrap())
        self.generator.shuffle(addresses)
        _LOG.info(
            "no seed answered; joining with %d sampled addresses",
            len(addresses),
        )
        self.members.receive_address_sample(addresses)

    async def _write_sample(self) -> None:
        size = min(SAMPLE_SIZE, len(self.live_addresses))
        chosen = self.generator.sample(self.live_addresses, size)
        value = encode_sample(chosen, self.node, time.time())
        key = f"{SAMPLE_PREFIX}{self.region}"
        # Two nodes may consider themselves chosen for a moment. The last write
        # wins, and either sample is valid.
        result = await self.table.write({key: value}, {})
        if isinstance(result, Failure):
            self._count(result.failure())

    async def _sweep_page(self) -> None:
        result = await self.sweep.expire()
        if isinstance(result, Failure):
            self._count(result.failure())
        report = result.value_or(None)
        if report is not None and report.removed:
            _LOG.info("removed %d expired claims", report.removed)
        self.schedule.observe_sweep(report, read_clock())

    def _count(self, error: StoreError) -> None:
        metrics.STORE_ERRORS.labels(error.kind.value).inc()


def encode_sample(
    addresses: Sequence[Address], writer: NodeId, at_unix_s: float
) -> bytes:
    """Encode an address sample as a row of the table service."""
    row = gossip_pb2.AddressSampleRow(writer=writer, at_unix_s=at_unix_s)
    for address in addresses:
        row.addresses.add(ip=address.ip, port=address.port)
    return row.SerializeToString()


def decode_sample(rows: Sequence[Row]) -> list[Address]:
    """Decode the samples of all regions, without the malformed rows.

    Examples
    --------
    >>> value = encode_sample([Address("10.0.0.1", 70)], NodeId("a"), 0.0)
    >>> decode_sample([Row("members/sample/x", value, 1), Row("y", b"?", 1)])
    [Address(ip='10.0.0.1', port=70)]
    """
    found: list[Address] = []
    for row in rows:
        try:
            sample = gossip_pb2.AddressSampleRow.FromString(row.value)
        except DecodeError:
            continue
        found.extend(
            Address(one.ip, one.port) for one in sample.addresses if one.port
        )
    return found
