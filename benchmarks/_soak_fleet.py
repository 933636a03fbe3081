"""Fleet of processes for the randomised run, controlled from a curio loop."""

import itertools
import os
import pathlib
import signal
import subprocess
import time

import curio
from google.protobuf import json_format, message

from benchmarks._soak_plan import SERVICE_TIME_S, SERVICES
from egretlever.core import Address, Seconds
from egretlever.schema import admin_pb2, faults_pb2, platform_pb2, standins_pb2
from egretlever.testing import NodeAddresses, SmallFleet
from egretlever.transport import send_request

# Below the range of ephemeral ports, so that a node can bind the same ports
# again after a restart.
_FIRST_PORT = 14000
_START_PAUSE = 0.15  # seconds between starts, to spread their processor time
_DRAIN_LINGER = 5.0  # seconds in which late requests are served and recorded


def choose_loopback() -> str:
    """Choose a loopback address that no concurrent run uses.

    Examples
    --------
    >>> choose_loopback().startswith("127.")
    True
    """
    number = os.getpid()
    return f"127.{number >> 16 & 127 | 1}.{number >> 8 & 255}.{number & 255}"


class SoakFleet(SmallFleet):
    """Fleet whose processes can be killed, paused and restarted.

    Attributes
    ----------
    homes : dict of str to str
        Name of the home node of each server.
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
        """Start a server at new addresses, as on a replaced host."""
        service = name.rpartition("-")[0]
        self.start_server(
            name,
            service,
            self.homes[name],
            slots=SERVICES[service][1],
            service_time_s=SERVICE_TIME_S,
            drain_linger_s=_DRAIN_LINGER,
            seed=len(self.programs),
        )

    def describe_start(self) -> str:
        """Describe the nodes and the processes that ended, for an error."""
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
        """Return whether a process is running."""
        return self.programs[name].process.poll() is None

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process if it is running."""
        if self.is_running(name):
            self.programs[name].signal(number)

    async def wait_for_end(self, name: str, timeout: float) -> bool:
        """Wait until a process has ended; return False on a timeout."""
        until = time.monotonic() + timeout
        while self.is_running(name):
            if time.monotonic() > until:
                return False
            await curio.sleep(0.02)
        return True

    async def call(
        self, address: Address, method: str, path: str, body: bytes = b""
    ) -> bytes | None:
        """Send a request to a control or admin page; None if it fails."""
        result = await send_request(address, method, path, body, Seconds(2.0))
        reply = result.value_or(None)
        if reply is None or reply.head.status != 200:
            return None
        return reply.body

    async def fetch_status(self, node: str) -> admin_pb2.FleetStatus | None:
        """Fetch a node's status of the fleet, None without an answer."""
        body = await self.call(self.nodes[node].admin, "GET", "/fleet")
        if body is None:
            return None
        return json_format.Parse(body, admin_pb2.FleetStatus())

    async def fetch_metrics(self, node: str) -> str:
        """Fetch the metrics of a node, empty without an answer."""
        body = await self.call(self.nodes[node].admin, "GET", "/metrics")
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
        await self.call(address, "POST", "/faults", body)

    async def put_platform_faults(
        self, faults: platform_pb2.StandInFaults
    ) -> None:
        """Replace the faults of the platform."""
        body = faults.SerializeToString()
        await self.call(self.platform, "POST", "/admin/faults", body)

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
        """Start a load generator that sends to all nodes."""
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
    """Return the abbreviated commit of the working tree, for the report."""
    return run_command("git", "rev-parse", "--short", "HEAD") or "unknown"
