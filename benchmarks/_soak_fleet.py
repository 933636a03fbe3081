"""Fleet of the randomised run, steered from one curio loop."""

import itertools
import os
import pathlib
import signal
import subprocess
import time

import curio
from google.protobuf import json_format, message

from benchmarks._soak_plan import SERVICE_TIME, SERVICES
from egretlever.core import Address, Seconds
from egretlever.schema import admin_pb2, faults_pb2, platform_pb2, standins_pb2
from egretlever.testing import NodeAddresses, SmallFleet
from egretlever.transport import send_request

# Below the range of ports that the system gives to outgoing connections, so
# that a node can take its ports again after a restart.
_FIRST_PORT = 14000
_START_PAUSE = 0.15  # seconds between starts, which cost processor time
_DRAIN_LINGER = 5.0  # seconds; a late request is recorded, not refused


def choose_loopback() -> str:
    """Choose a loopback address that no other run uses at this time.

    Examples
    --------
    >>> choose_loopback().startswith("127.")
    True
    """
    number = os.getpid()
    return f"127.{number >> 16 & 127 | 1}.{number >> 8 & 255}.{number & 255}"


class SoakFleet(SmallFleet):
    """Fleet whose processes can be killed, paused and started again.

    Attributes
    ----------
    homes : dict of str to str
        Node of each server.
    """

    def __init__(self) -> None:
        self._ip = choose_loopback()
        self._ports = itertools.count(_FIRST_PORT)
        super().__init__(fault_injection=True)
        self.homes: dict[str, str] = {}
        self._edits = 0

    def reserve(self, count: int) -> list[Address]:
        """Reserve addresses that this run has not used yet."""
        return [Address(self._ip, next(self._ports)) for _ in range(count)]

    def start_all(self, nodes: int) -> None:
        """Start the platform, nodes and servers."""
        self.start_platform()
        addresses = self.reserve(3 * nodes)
        for number in range(nodes):
            self.nodes[f"node-{number}"] = NodeAddresses(
                *addresses[3 * number : 3 * number + 3]
            )
        for name in self.nodes:
            self.start_node(name)
            time.sleep(_START_PAUSE)
        for service, (count, _) in SERVICES.items():
            for number in range(count):
                name = f"{service}-{number}"
                self.homes[name] = f"node-{len(self.homes) % nodes}"
                self.restart_server(name)
                time.sleep(_START_PAUSE)

    def restart_server(self, name: str) -> None:
        """Start a server at new addresses, as a replaced host has."""
        service = name.rpartition("-")[0]
        self.start_server(
            name,
            service,
            self.homes[name],
            slots=SERVICES[service][1],
            service_time_s=SERVICE_TIME,
            drain_linger_s=_DRAIN_LINGER,
            seed=len(self.programs),
        )

    def describe_start(self) -> str:
        """Describe what keeps the fleet from being ready."""
        lines = []
        for name in self.nodes:
            status = self.read_status(name)
            if status is None:
                lines.append(f"{name} does not answer")
            else:
                lines.append(
                    f"{name} ready {status.ready}, version"
                    f" {status.catalogue_version}, {len(status.nodes)} nodes,"
                    f" {len(status.servers)} servers"
                )
        for name, running in self.programs.items():
            if not self.is_running(name):
                text = running.log.read_text(errors="replace")
                lines.append(f"{name} ended: {text[-500:]}")
        return "\n".join(lines)

    def is_running(self, name: str) -> bool:
        """Tell whether a process has not ended."""
        return self.programs[name].process.poll() is None

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that was started here."""
        if self.is_running(name):
            self.programs[name].signal(number)

    async def wait_for_end(self, name: str, timeout: float) -> bool:
        """Wait until a process has ended."""
        until = time.monotonic() + timeout
        while self.is_running(name):
            if time.monotonic() > until:
                return False
            await curio.sleep(0.02)
        return True

    async def ask(
        self, address: Address, method: str, path: str, body: bytes = b""
    ) -> bytes | None:
        """Send a request to a control or admin page."""
        result = await send_request(address, method, path, body, Seconds(2.0))
        reply = result.value_or(None)
        if reply is None or reply.head.status != 200:
            return None
        return reply.body

    async def ask_status(self, node: str) -> admin_pb2.FleetStatus | None:
        """Read the fleet as a node sees it."""
        body = await self.ask(self.nodes[node].admin, "GET", "/fleet")
        if body is None:
            return None
        return json_format.Parse(body, admin_pb2.FleetStatus())

    async def ask_metrics(self, node: str) -> str:
        """Read the metrics of a node, empty when it does not answer."""
        body = await self.ask(self.nodes[node].admin, "GET", "/metrics")
        return (body or b"").decode()

    async def put_server_faults(
        self, server: str, faults: standins_pb2.BackendFaults
    ) -> None:
        """Replace the faults of a server."""
        await self._put(self.servers[server].control, faults)

    async def put_link_faults(
        self, node: str, faults: list[faults_pb2.LinkFault]
    ) -> None:
        """Replace the faults of a node's links."""
        wanted = faults_pb2.LinkFaults(faults=faults)
        await self._put(self.nodes[node].admin, wanted)

    async def _put(self, address: Address, faults: message.Message) -> None:
        body = json_format.MessageToJson(faults).encode()
        await self.ask(address, "POST", "/faults", body)

    async def put_platform_faults(
        self, faults: platform_pb2.StandInFaults
    ) -> None:
        """Replace the faults of the platform."""
        body = faults.SerializeToString()
        await self.ask(self.platform, "POST", "/admin/faults", body)

    async def edit(
        self, operator: str, content: str, base: int, rebase: bool
    ) -> tuple[int, str]:
        """Apply a catalogue as an operator; return exit code and output."""
        self._edits += 1
        name = f"edit-{self._edits}"
        file = self.path / f"{name}-catalogue.ini"
        file.write_text(content, encoding="utf-8")
        stores = {"table": self.platform, "objects": self.platform}
        admins = ", ".join(str(node.admin) for node in self.nodes.values())
        ctl = {"operator": operator, "nodes": admins}
        settings = self.write_settings(name, {"platform": stores, "ctl": ctl})
        options: list[object] = ["--base", base]
        options += ["--rebase"] if rebase else []
        running = self.start(
            name,
            "ctl",
            "--settings",
            settings,
            "catalogue",
            "apply",
            file,
            *options,
        )
        await self.wait_for_end(name, 30.0)
        code = running.process.poll()
        text = running.log.read_text(encoding="utf-8")
        return (-1 if code is None else code), text

    def start_load(self, name: str, mix: pathlib.Path, seed: int) -> None:
        """Start a load generator over all nodes."""
        nodes = ", ".join(str(node.traffic) for node in self.nodes.values())
        settings = self.write_settings(
            name, {"load": {"nodes": nodes, "seed": seed}}
        )
        results = self.path / f"{name}.results"
        self.start(name, "load", "play", settings, mix, "--results", results)


def read_results(path: pathlib.Path) -> list[standins_pb2.LoadResult]:
    """Read the results that a load generator wrote."""
    return [
        json_format.Parse(line, standins_pb2.LoadResult())
        for line in path.read_text(encoding="utf-8").splitlines()
    ]


def run_command(*words: str) -> str:
    """Run a command and return what it prints."""
    done = subprocess.run(words, capture_output=True, text=True)
    return done.stdout.strip()


def find_revision() -> str:
    """Find the revision that is run, for the report."""
    return run_command("git", "rev-parse", "--short", "HEAD") or "unknown"
