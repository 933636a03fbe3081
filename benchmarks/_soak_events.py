"""Carries out the events of the randomised run."""

import pathlib
import random
import re
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable

import curio

from benchmarks._soak_fleet import SoakFleet
from benchmarks._soak_history import Edit, History
from benchmarks._soak_plan import (
    FLOOD_MIXES,
    PLATFORM_FAULTS,
    SERVER_FAULTS,
    SERVICES,
    Event,
    Kind,
)
from egretlever.schema import faults_pb2, platform_pb2, standins_pb2
from egretlever.standins import make_mix, write_mix

_MAX_NODES_DOWN = 3
_MAX_STOP_TIME = 45.0  # seconds; a node waits up to 30 s for open requests
_START_TIME = 1.5  # seconds until a started program handles signals
_PLATFORM_LATENCY = 0.002  # seconds, the default of the stand-in
_ACCEPTED_VERSION = re.compile(r"version (\d+) is in the store")


class Events:
    """Carries out events and records them.

    Parameters
    ----------
    fleet : SoakFleet
        Fleet to act on.
    history : History
        Record to which a span is added for each event that takes place.
    randomness : random.Random
        Source of random choices.
    catalogue : str
        Text of the catalogue that edits start from.
    """

    def __init__(
        self,
        fleet: SoakFleet,
        history: History,
        randomness: random.Random,
        catalogue: str,
    ) -> None:
        self._fleet = fleet
        self._history = history
        self._randomness = randomness
        self._catalogue = catalogue
        self._down: set[str] = set()
        self._active_events: Counter[str] = Counter()
        self._links: dict[str, list[faults_pb2.LinkFault]] = {}
        self._last_number = 0
        self.loads: list[str] = []
        self.stopping: set[str] = set()
        self._actions: dict[Kind, Callable[[Event], Awaitable[None]]] = {
            Kind.SERVER_KILL: self._kill_server,
            Kind.SERVER_PAUSE: self._pause,
            Kind.SERVER_FAULT: self._fault_server,
            Kind.SERVER_DRAIN: self._drain_server,
            Kind.NODE_KILL: self._kill_node,
            Kind.NODE_PAUSE: self._pause,
            Kind.NODE_LEAVE: self._leave_node,
            Kind.CUT_TO_SERVER: self._cut_to_server,
            Kind.CUT_TO_NODE: self._cut_to_node,
            Kind.PLATFORM: self._fault_platform,
            Kind.EDIT: self._edit,
            Kind.RACE: self._race,
            Kind.FLOOD: self._flood,
        }

    @property
    def down(self) -> frozenset[str]:
        """Programs that an event has stopped or is stopping."""
        return frozenset(self._down)

    async def perform(self, event: Event) -> None:
        """Carry out an event and undo it, unless its target is down."""
        if event.target in self._down:
            return
        self._active_events[event.target] += 1
        try:
            await self._actions[event.kind](event)
        finally:
            self._active_events[event.target] -= 1

    async def _kill_server(self, event: Event) -> None:
        await self._kill(event)
        self._fleet.restart_server(event.target)
        await self._mark_running(event.target)

    async def _kill_node(self, event: Event) -> None:
        if not self._can_end_node():
            return
        await self._kill(event)
        self._fleet.start_node(event.target)
        await self._mark_running(event.target)

    def _can_end_node(self) -> bool:
        down = [name for name in self._down if name in self._fleet.nodes]
        return len(down) < _MAX_NODES_DOWN

    async def _kill(self, event: Event) -> None:
        self._down.add(event.target)
        span = self._history.record_begin(event.kind, event.target)
        self._fleet.signal(event.target, signal.SIGKILL)
        await self._fleet.wait_for_end(event.target, 5.0)
        await curio.sleep(event.duration)
        span.ended = time.time()

    async def _mark_running(self, name: str) -> None:
        await curio.sleep(_START_TIME)
        self._down.discard(name)

    async def _pause(self, event: Event) -> None:
        span = self._history.record_begin(event.kind, event.target)
        self._fleet.signal(event.target, signal.SIGSTOP)
        await curio.sleep(event.duration)
        self._fleet.signal(event.target, signal.SIGCONT)
        span.ended = time.time()

    async def _fault_server(self, event: Event) -> None:
        values = SERVER_FAULTS[event.detail]
        span = self._history.record_begin(
            event.kind, event.target, event.detail
        )
        faults = standins_pb2.BackendFaults(**values)  # type: ignore[arg-type]
        await self._fleet.put_server_faults(event.target, faults)
        await curio.sleep(event.duration)
        await self._fleet.put_server_faults(
            event.target, standins_pb2.BackendFaults()
        )
        span.ended = time.time()

    async def _drain_server(self, event: Event) -> None:
        home = self._fleet.homes[event.target]
        if self._active_events[event.target] > 1 or home in self._down:
            return
        self._down.add(event.target)
        span = self._history.record_begin(event.kind, event.target)
        control = self._fleet.servers[event.target].control
        if await self._fleet.call(control, "POST", "/drain") is not None:
            span.announced = time.time()
        if not await self._fleet.wait_for_end(event.target, _MAX_STOP_TIME):
            self._history.report("planned stop ends", str(span))
            self._fleet.signal(event.target, signal.SIGKILL)
            await self._fleet.wait_for_end(event.target, 5.0)
        span.ended = time.time()
        await curio.sleep(event.duration)
        self._fleet.restart_server(event.target)
        await self._mark_running(event.target)

    async def _leave_node(self, event: Event) -> None:
        if self._active_events[event.target] > 1 or not self._can_end_node():
            return
        self._down.add(event.target)
        span = self._history.record_begin(event.kind, event.target)
        self._fleet.signal(event.target, signal.SIGTERM)
        if not await self._fleet.wait_for_end(event.target, _MAX_STOP_TIME):
            self._history.report("planned stop ends", str(span))
            self._fleet.signal(event.target, signal.SIGKILL)
            await self._fleet.wait_for_end(event.target, 5.0)
        span.ended = time.time()
        code = self._fleet.programs[event.target].process.poll()
        if code != 0:
            self._history.report(
                "no node ends by itself", f"{span} exit code {code}"
            )
        await curio.sleep(event.duration)
        self._fleet.start_node(event.target)
        await self._mark_running(event.target)

    async def _cut_to_server(self, event: Event) -> None:
        direction, server = event.detail.split(" ")
        address = self._fleet.servers[server].traffic
        await self._fault_link(
            event,
            faults_pb2.LinkFault(
                ip=address.ip,
                port=address.port,
                direction=direction.upper(),
                cut=True,
            ),
        )

    async def _cut_to_node(self, event: Event) -> None:
        effect, node = event.detail.split(" ")
        address = self._fleet.nodes[node].gossip
        fault = faults_pb2.LinkFault(ip=address.ip, port=address.port)
        directions = {
            "sending": faults_pb2.SENDING,
            "receiving": faults_pb2.RECEIVING,
        }
        if effect == "loss":
            fault.loss_share = 0.4
        elif effect == "delay":
            fault.delay_s = 0.3
        else:
            fault.cut = True
            fault.direction = directions[effect]
        await self._fault_link(event, fault)

    async def _fault_link(
        self, event: Event, fault: faults_pb2.LinkFault
    ) -> None:
        span = self._history.record_begin(
            event.kind, event.target, event.detail
        )
        faults = self._links.setdefault(event.target, [])
        faults.append(fault)
        await self._fleet.put_link_faults(event.target, faults)
        await curio.sleep(event.duration)
        faults.remove(fault)
        await self._fleet.put_link_faults(event.target, faults)
        span.ended = time.time()

    async def _fault_platform(self, event: Event) -> None:
        values = PLATFORM_FAULTS[event.detail]
        span = self._history.record_begin(event.kind, "", event.detail)
        faults = platform_pb2.StandInFaults(**values)  # type: ignore[arg-type]
        await self._fleet.put_platform_faults(faults)
        await curio.sleep(event.duration)
        await self.reset_platform()
        span.ended = time.time()

    async def reset_platform(self) -> None:
        """End all faults of the platform."""
        await self._fleet.put_platform_faults(
            platform_pb2.StandInFaults(latency_s=_PLATFORM_LATENCY)
        )

    async def _edit(self, event: Event) -> None:
        span = self._history.record_begin(event.kind, "")
        await self._apply(self._find_base(), False)
        span.ended = time.time()

    async def _race(self, event: Event) -> None:
        span = self._history.record_begin(event.kind, "")
        base = self._find_base()
        async with curio.TaskGroup() as tasks:
            for _ in range(2):
                rebase = self._randomness.random() < 0.5
                await tasks.spawn(self._apply, base, rebase)
        span.ended = time.time()

    def _find_base(self) -> int:
        versions = [sample.version for sample in self._history.samples]
        versions += [edit.version for edit in self._history.edits]
        return max(versions, default=1)

    async def _apply(self, base: int, rebase: bool) -> None:
        self._last_number += 1
        operator = f"operator-{self._last_number}"
        service = self._randomness.choice(list(SERVICES))
        content = re.sub(
            rf"(\[service {service}\]\nowner = ).*",
            rf"\g<1>{operator}",
            self._catalogue,
        )
        code, text = await self._fleet.edit(operator, content, base, rebase)
        found = _ACCEPTED_VERSION.search(text)
        if code == 0 and found:
            self._history.edits.append(
                Edit(int(found[1]), time.time(), operator)
            )
            self._catalogue = content

    async def _flood(self, event: Event) -> None:
        span = self._history.record_begin(event.kind, "", event.detail)
        self._last_number += 1
        name = f"flood-{self._last_number}"
        seed = self._randomness.getrandbits(31)
        mix = make_mix(FLOOD_MIXES[event.detail], event.duration, seed)
        path = pathlib.Path(self._fleet.path / f"{name}.jsonl")
        write_mix(path, mix)
        self._fleet.start_load(name, path, seed)
        self.loads.append(name)
        await self._fleet.wait_for_end(name, event.duration + 30.0)
        span.ended = time.time()
