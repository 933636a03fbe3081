"""Runs relay processes under random faults and checks their promises.

Faults are injected from outside the processes: signals, proxies between the
nodes, a faulty store, and failing servers. The same seed gives the same
schedule; the timing of the processes differs between runs. Exits with 1 and
keeps the logs when a promise was broken.
"""

import datetime
import pathlib
import random
import shutil
import signal
import time
from typing import Annotated

import curio
import typer

from benchmarks._relay_soak_checks import (
    find_abandoned_requests,
    find_ignored_signals,
    find_lost_requests,
)
from benchmarks._relay_soak_configurations import (
    ConfigurationCheck,
    ConfigurationHistory,
)
from benchmarks._relay_soak_hosts import SoakHost
from benchmarks._relay_soak_lateness import LATE, LatenessMonitor
from benchmarks._relay_soak_network import LinkFault, SoakStore
from benchmarks._relay_soak_plan import (
    Event,
    EventKind,
    Faults,
    make_schedule,
)
from benchmarks._relay_soak_records import AppliedEvent, Records
from benchmarks._relay_soak_untrusted import find_starved_hosts
from egretlever.core import Seconds
from egretlever.relay._followers import SERVER_TABLE
from egretlever.standins import RowsFault
from egretlever.testing import Fleet, reserve_addresses
from egretlever.transport import read_clock

_READY_TIMEOUT = 120.0  # seconds; ample even on a loaded machine
_CHECK_INTERVAL = 0.1  # seconds
_RECOVERY_TIME = 8.0  # seconds without faults at the end
_STOP_TIMEOUT = 10.0  # seconds, above the grace period in the settings
_REWRITE_TIME = 0.5  # seconds after which the operator writes again
_LATE_WRITE = 1.5  # seconds after which a late write takes effect
# Share of the requests of the last seconds that must succeed after all faults
# have ended.
_FINAL_SERVED_SHARE = 0.8
_FINAL_WINDOW = Seconds(4.0)
_FINAL_PATHS = ("/reads/", "/orders/")
_LIMITS = (2.0, 10.0)  # requests per second that a server takes
_MIN_LEAVING_TIME = 4.0  # seconds, above the time in which its node obeys
# Times for which a slowed process stands and runs in turn.
_SLOW_PAUSE = 0.08  # seconds
_SLOW_RUN = 0.08  # seconds
_LINK_FAULTS = {
    EventKind.LINK_DELAY: LinkFault.DELAY,
    EventKind.LINK_SILENT: LinkFault.SILENT,
    EventKind.LINK_CUT_TO: LinkFault.CUT_TO,
    EventKind.LINK_CUT_FROM: LinkFault.CUT_FROM,
    EventKind.LINK_RESET: LinkFault.RESET,
}
_STORE_FAULTS = {
    EventKind.STORE_BUSY: RowsFault.BUSY,
    EventKind.STORE_SILENT: RowsFault.SILENT,
    EventKind.STORE_LOST: RowsFault.LOST,
    EventKind.STORE_LATE: RowsFault.LATE,
    EventKind.STORE_GARBLED: RowsFault.GARBLED,
}
_STOPS = (EventKind.STOP, EventKind.ROLL, EventKind.ROLL_AFTER_SERVER)
# Texts that a process logs only because of a defect.
_ERROR_MARKERS = ("Traceback", "A component failed", "invariant")


class RelaySoak:
    """One randomised run.

    Parameters
    ----------
    fleet : Fleet
        Fleet that starts the processes.
    seed : int
        Seed of the schedule, service times and failures.
    seconds : float
        Time in which events begin.
    hosts : int
        Number of hosts.
    faults : Faults, optional
        Events that are injected.
    untrusted : bool, default=False
        Whether every host has untrusted clients.

    Attributes
    ----------
    records : Records
        What callers and servers observed.
    configurations : ConfigurationHistory
        Configurations that the store had.
    ages : tuple of Seconds
        Longest time for which a configuration was in force after the
        confirmation of the next one, at hosts in touch and at others.
    violations : list of str
        Broken promises.
    """

    def __init__(
        self,
        fleet: Fleet,
        seed: int,
        seconds: float,
        hosts: int,
        faults: Faults = Faults.ALL,
        untrusted: bool = False,
    ) -> None:
        self._untrusted = untrusted
        self.records = Records()
        self.configurations = ConfigurationHistory(
            random.Random(f"routes-{seed}")
        )
        self.ages = (Seconds(0.0), Seconds(0.0))
        self.violations: list[str] = []
        self.schedule = make_schedule(seed, seconds, hosts, faults)
        self._rng = random.Random(f"limits-{seed}")
        self._store = SoakStore()
        self._newest_body = b""
        # The address of a proxy follows that of its node, so that the nodes
        # have the same order at both.
        addresses = sorted(
            reserve_addresses(2 * hosts), key=lambda address: address.port
        )
        self._hosts = [
            SoakHost(
                fleet,
                self._store,
                self.records,
                self.configurations,
                number,
                (addresses[2 * number], addresses[2 * number + 1]),
                random.Random(f"{seed}-{number}"),
                untrusted,
            )
            for number in range(hosts)
        ]
        # Events of one process do not overlap.
        self._process_locks = [curio.Lock() for _ in self._hosts]

    async def run(self) -> None:
        """Run the schedule and check the records."""
        await self._configure()
        monitor = LatenessMonitor(
            self._hosts, self.records.applied_events.append
        )
        loops = [
            self._store.run,
            monitor.run,
            *(host.run for host in self._hosts),
        ]
        tasks = [await curio.spawn(part, daemon=True) for part in loops]
        try:
            await self._run_schedule()
        finally:
            # Callers stop first, so that they don't flood stopping nodes.
            for task in tasks[1:]:
                await task.cancel()
            for host in self._hosts:
                host.signal(signal.SIGTERM)
            for host in self._hosts:
                await self._await_exit(host)
            await tasks[0].cancel()

    async def _run_schedule(self) -> None:
        if not await self._await_ready():
            self.violations.append("the fleet did not become ready")
            return
        begun = read_clock()
        async with curio.TaskGroup() as group:
            for event in self.schedule:
                await curio.sleep(max(0.0, begun + event.at - read_clock()))
                await group.spawn(self._apply_event, event)
        if not await self._await_ready():
            self.violations.append("a node did not become ready again")
        await curio.sleep(_RECOVERY_TIME)
        self._check_final_state()
        check = ConfigurationCheck(self.records, self.configurations)
        signals = [one for host in self._hosts for one in host.signals]
        self.violations += [
            *self.records.find_violations(),
            *find_lost_requests(self.records),
            *find_abandoned_requests(self.records),
            *check.find_violations(),
            *find_ignored_signals(self.records, signals),
        ]
        if self._untrusted:
            self.violations += find_starved_hosts(self.records)
            self.violations += [
                f"{host.name}: the process exceeded its memory"
                for host in self._hosts
                if host.exceeds_memory()
            ]
        self.ages = (check.age_in_touch, check.age_in_trouble)

    async def _configure(self) -> None:
        version, body = self.configurations.begin_version()
        self._newest_body = body
        await self._store.put("op", "config", body)
        version.confirmed = read_clock()

    async def _restore_store(self, age: float) -> None:
        """Restore the store from a copy; the operator writes again."""
        await self._store.restore(age)
        await curio.sleep(_REWRITE_TIME)
        if self._store.find("op", "config") != self._newest_body:
            await self._store.put("op", "config", self._newest_body)

    async def _await_ready(self) -> bool:
        until = read_clock() + _READY_TIMEOUT
        while read_clock() < until:
            ready = [await host.is_ready() for host in self._hosts]
            if all(ready):
                return True
            await curio.sleep(_CHECK_INTERVAL)
        return False

    async def _apply_event(self, event: Event) -> None:
        host = self._hosts[event.host]
        begun = read_clock()
        if event.kind in _STORE_FAULTS:
            self._store.delay = _LATE_WRITE
            self._store.fault = _STORE_FAULTS[event.kind]
            await curio.sleep(event.duration)
            self._store.fault = RowsFault.NONE
        elif event.kind is EventKind.STORE_FORGETS:
            self._store.forget_history()
        elif event.kind is EventKind.STORE_RESTORED:
            await self._restore_store(event.duration)
        elif event.kind in _LINK_FAULTS:
            host.proxy.set_fault(_LINK_FAULTS[event.kind])
            await curio.sleep(event.duration)
            host.proxy.set_fault(LinkFault.NONE)
        elif event.kind is EventKind.GRAY:
            host.gray = True
            await curio.sleep(event.duration)
            host.gray = False
        elif event.kind is EventKind.BAD_ANSWERS:
            host.bad_answers = True
            await curio.sleep(event.duration)
            host.bad_answers = False
        elif event.kind is EventKind.RELOAD:
            host.signal(signal.SIGHUP)
        elif event.kind is EventKind.CONFIGURE:
            await self._configure()
        elif event.kind is EventKind.LIMIT:
            limit = self._rng.uniform(*_LIMITS)
            await host.limit_server(limit, event.duration)
        else:
            async with self._process_locks[event.host]:
                begun = read_clock()
                await self._change_process(event, host)
        if event.kind not in _STOPS:
            self._record(event.kind, host, begun)

    def _record(self, kind: EventKind, host: SoakHost, begun: Seconds) -> None:
        subject = "" if kind.is_store_event else host.name
        self.records.applied_events.append(
            AppliedEvent(kind.value, subject, begun, read_clock())
        )

    async def _change_process(self, event: Event, host: SoakHost) -> None:
        if event.kind is EventKind.REPLACE_SERVER:
            await host.replace_server()
        elif event.kind is EventKind.LEAVE:
            await host.replace_leaving_server(
                _MIN_LEAVING_TIME + event.duration
            )
        elif event.kind in (EventKind.PAUSE, EventKind.PAUSE_SOURCE):
            host.signal(signal.SIGSTOP)
            await curio.sleep(event.duration)
            host.signal(signal.SIGCONT)
        elif event.kind is EventKind.SLOW:
            until = read_clock() + event.duration
            while read_clock() < until:
                host.signal(signal.SIGSTOP)
                await curio.sleep(_SLOW_PAUSE)
                host.signal(signal.SIGCONT)
                await curio.sleep(_SLOW_RUN)
        elif event.kind is EventKind.KILL:
            host.signal(signal.SIGKILL)
            await self._await_exit(host)
            host.start()
        elif event.kind is EventKind.ROLL_AFTER_SERVER:
            await host.withdraw_server()
            await self._stop(host, event.duration)
            host.add_server()
        elif event.kind is EventKind.ROLL:
            await self._stop(host, event.duration)
        else:
            await self._stop(host, 0.0)

    async def _stop(self, host: SoakHost, delay: float) -> None:
        """Stop a process as planned and start it again after a delay."""
        begun = read_clock()
        host.signal(signal.SIGTERM)
        if not await self._await_exit(host):
            self.violations.append(f"{host.name} did not stop in time")
            host.signal(signal.SIGKILL)
            await self._await_exit(host)
        await curio.sleep(delay)
        host.start()
        self._record(EventKind.STOP, host, begun)

    async def _await_exit(self, host: SoakHost) -> bool:
        until = read_clock() + _STOP_TIMEOUT
        while host.is_running() and read_clock() < until:
            await curio.sleep(_CHECK_INTERVAL)
        return not host.is_running()

    def describe_events(self) -> str:
        """Describe events and configurations, with seconds of the clock."""
        begun = [
            (event.begun, f"{event.kind} {event.subject} to {event.ended:.3f}")
            for event in self.records.applied_events
        ]
        begun += [
            (one.begun, f"version {one.number} {dict(one.routes)}")
            for one in self.configurations.versions
        ]
        offset = time.time() - read_clock()
        return "".join(
            f"{at:.3f} {datetime.datetime.fromtimestamp(at + offset)} {text}\n"
            for at, text in sorted(begun)
        )

    def _check_final_state(self) -> None:
        """Check that the fleet works after all faults have ended."""
        now = read_clock()
        last = [
            sent
            for sent in self.records.sent
            if sent.begun > now - _FINAL_WINDOW
            and sent.path.startswith(_FINAL_PATHS)
        ]
        served = sum(sent.status == 200 for sent in last)
        if served < _FINAL_SERVED_SHARE * len(last) or not last:
            self.violations.append(
                f"{served} of {len(last)} requests were served at the end"
            )
        for host in self._hosts:
            if self._store.find(SERVER_TABLE, host.server_id) is None:
                self.violations.append(f"{host.name}: its server has no row")
            if not host.is_running():
                self.violations.append(f"{host.name} ended by itself")
            logs = host.read_logs()
            self.violations += [
                f"{host.name} wrote {marker!r}"
                for marker in _ERROR_MARKERS
                if marker in logs
            ]


def print_report(soak: RelaySoak) -> None:
    """Print the answers by status, the events by kind and the violations."""
    statuses: dict[int, int] = {}
    for sent in soak.records.sent:
        statuses[sent.status] = statuses.get(sent.status, 0) + 1
    kinds: dict[str, int] = {}
    for event in soak.schedule:
        kinds[event.kind.value] = kinds.get(event.kind.value, 0) + 1
    print("answers:", dict(sorted(statuses.items())))
    print("events:", dict(sorted(kinds.items())))
    late = sum(one.kind == LATE for one in soak.records.applied_events)
    in_touch, in_trouble = soak.ages
    print(
        f"{len(soak.configurations.versions)} configurations, the older one in"
        f" force for {in_touch:.2f} s at hosts in touch and {in_trouble:.2f} s"
        f" at others; late processes: {late}"
    )
    for violation in soak.violations:
        print(f"BROKEN: {violation}")


def run_seed(
    seed: int,
    seconds: float,
    hosts: int,
    faults: Faults = Faults.ALL,
    untrusted: bool = False,
) -> RelaySoak:
    """Run one seed and return the run with its violations.

    Parameters
    ----------
    seed : int
        Seed of the run.
    seconds : float
        Time in which events begin.
    hosts : int
        Number of hosts, each with one process.
    faults : Faults, optional
        Events that are injected.
    untrusted : bool, default=False
        Whether every host has untrusted clients.
    """
    with Fleet() as fleet:
        soak = RelaySoak(fleet, seed, seconds, hosts, faults, untrusted)
        curio.run(soak.run)
        if soak.violations:
            folder = pathlib.Path("build/relay-soak") / str(seed)
            shutil.rmtree(folder, ignore_errors=True)
            shutil.copytree(fleet.path, folder)
            (folder / "events.txt").write_text(soak.describe_events())
            print(f"logs are in {folder}")
        return soak


def run(
    seed: Annotated[
        int | None, typer.Option(help="First seed; drawn if absent.")
    ] = None,
    runs: Annotated[int, typer.Option(min=1, help="Seeds to play.")] = 1,
    seconds: Annotated[
        float, typer.Option(min=5, max=3600, help="Length of each run.")
    ] = 60.0,
    hosts: Annotated[
        int, typer.Option(min=2, max=200, help="Hosts, a process each.")
    ] = 8,
    faults: Annotated[
        Faults, typer.Option(help="Events that are injected.")
    ] = Faults.ALL,
    untrusted: Annotated[
        bool, typer.Option(help="Untrusted clients at every host.")
    ] = False,
) -> None:
    """Run relay processes under random faults."""
    if seed is None:
        seed = random.SystemRandom().randrange(1, 1_000_000)
    violating_seeds = []
    for number in range(seed, seed + runs):
        print(
            f"seed {number}, {seconds:g} s, {hosts} hosts, {faults.value}",
            flush=True,
        )
        soak = run_seed(number, seconds, hosts, faults, untrusted)
        print_report(soak)
        if soak.violations:
            violating_seeds.append(number)
    if violating_seeds:
        print(f"BROKEN SEEDS: {violating_seeds}")
        raise typer.Exit(1)
    print("all promises kept")


if __name__ == "__main__":
    typer.run(run)
