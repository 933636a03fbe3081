"""A small fleet of nodes, simulated backend servers and platform."""

import dataclasses
import pathlib
import subprocess
import sys
import time
import types
from collections.abc import Mapping

import curio
from google.protobuf import json_format

from egretlever.core import Address, Seconds
from egretlever.schema import admin_pb2, standins_pb2
from egretlever.testing._fleet import Fleet, reserve_addresses, wait_until
from egretlever.transport import send_request

_DOMAINS = (
    ("punjab", "punjab-1"),
    ("punjab", "punjab-2"),
    ("sindh", "sindh-1"),
    ("sindh", "sindh-2"),
)
_NO_SECTIONS: Mapping[str, Mapping[str, object]] = types.MappingProxyType({})


@dataclasses.dataclass(frozen=True, slots=True)
class NodeAddresses:
    """Addresses of one node."""

    traffic: Address
    admin: Address
    gossip: Address


@dataclasses.dataclass(frozen=True, slots=True)
class ServerAddresses:
    """Addresses of one simulated backend server."""

    traffic: Address
    control: Address


class SmallFleet(Fleet):
    """Fleet with a platform, servers, and nodes in four failure domains.

    Attributes
    ----------
    nodes : dict of str to NodeAddresses
        Addresses of each started node.
    servers : dict of str to ServerAddresses
        Addresses of each started server.

    Parameters
    ----------
    fault_injection : bool, default=False
        Whether faults can be injected into the links of the nodes.
    sections : mapping of str to mapping, optional
        Further sections of the nodes' settings.
    """

    def __init__(
        self,
        fault_injection: bool = False,
        sections: Mapping[str, Mapping[str, object]] = _NO_SECTIONS,
    ) -> None:
        super().__init__()
        self._sections = sections
        self._fault_injection = fault_injection
        self.nodes: dict[str, NodeAddresses] = {}
        self.servers: dict[str, ServerAddresses] = {}
        self._platform = self.reserve(1)[0]

    @property
    def platform(self) -> Address:
        """Address of the table service and the object store."""
        return self._platform

    def reserve(self, count: int) -> list[Address]:
        """Reserve addresses for nodes or servers."""
        return reserve_addresses(count)

    def start_platform(self) -> None:
        """Start the stand-in of the table service and the object store."""
        path = self.write_settings(
            "platform", {"platform": {"listen": self._platform}}
        )
        self.start("platform", "platform", "run", path)

    def start_nodes(self, count: int) -> None:
        """Start nodes ``node-0`` and on, spread over the failure domains."""
        addresses = self.reserve(3 * count)
        for number in range(count):
            self.nodes[f"node-{number}"] = NodeAddresses(
                *addresses[3 * number : 3 * number + 3]
            )
        for name in self.nodes:
            self.start_node(name)

    def start_node(self, name: str) -> None:
        """Start or restart a node at its addresses."""
        addresses = self.nodes[name]
        number = int(name.rpartition("-")[2])
        region, domain = _DOMAINS[number % len(_DOMAINS)]
        seeds = [str(node.gossip) for node in self.nodes.values()][:3]
        path = self.write_settings(
            name,
            {
                "identity": {
                    "node": name,
                    "host": f"host-{number}",
                    "failure_domain": domain,
                    "region": region,
                },
                "listen": {
                    "traffic": addresses.traffic,
                    "admin": addresses.admin,
                    "gossip": addresses.gossip,
                },
                "members": {"seeds": ", ".join(seeds)},
                "testing": {"fault_injection": self._fault_injection},
                "platform": {
                    "table": self._platform,
                    "objects": self._platform,
                },
                **self._sections,
            },
        )
        self.start(name, "node", "run", path)

    def start_server(
        self, name: str, service: str, node: str, **settings: object
    ) -> None:
        """Start a simulated backend server that announces itself to a node."""
        traffic, control = self.reserve(2)
        self.servers[name] = ServerAddresses(traffic, control)
        section = {
            "server": name,
            "service": service,
            "listen": traffic,
            "control": control,
            "node_admin": self.nodes[node].admin,
            "record_file": self.path / f"{name}.records",
            **settings,
        }
        path = self.write_settings(name, {"backend": section})
        self.start(name, "backend", "run", path)

    def run_ctl(self, *arguments: object) -> "subprocess.CompletedProcess[str]":
        """Run ``egretlever-ctl`` with arguments."""
        process = self.start_ctl(*arguments)
        output, errors = process.communicate()
        return subprocess.CompletedProcess(
            process.args, process.returncode, output, errors
        )

    def start_ctl(self, *arguments: object) -> "subprocess.Popen[str]":
        """Start ``egretlever-ctl`` with arguments, without waiting."""
        admins = ", ".join(str(node.admin) for node in self.nodes.values())
        path = self.write_settings(
            "ctl",
            {
                "platform": {
                    "table": self._platform,
                    "objects": self._platform,
                },
                "ctl": {"operator": "fleet", "nodes": admins},
            },
        )
        command = [sys.executable, "-m", "egretlever.programs.ctl"]
        command += ["--settings", str(path), *map(str, arguments)]
        return subprocess.Popen(
            command,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    def apply_catalogue(self, path: pathlib.Path, base: int = 0) -> None:
        """Apply a catalogue file with ``egretlever-ctl``.

        Raises
        ------
        RuntimeError
            If the edit was not accepted.
        """
        for _ in range(20):
            result = self.run_ctl("catalogue", "apply", path, "--base", base)
            if result.returncode == 0:
                return
            if result.returncode != 3:
                break
            time.sleep(0.2)
        raise RuntimeError(f"{result.stdout}{result.stderr}")

    def wait_ready(self, servers: int, timeout: float = 20.0) -> bool:
        """Wait until each node is ready and knows ``servers`` or more."""

        def is_ready() -> bool:
            statuses = [self.read_status(name) for name in self.nodes]
            return all(
                status is not None
                and status.ready
                and len(status.servers) >= servers
                for status in statuses
            )

        return wait_until(is_ready, timeout)

    def read_status(self, node: str) -> admin_pb2.FleetStatus | None:
        """Read a node's view of the fleet; None when it does not respond."""
        body = _exchange(self.nodes[node].admin, "GET", "/fleet")
        if body is None:
            return None
        return json_format.Parse(body, admin_pb2.FleetStatus())

    def set_faults(self, server: str, **faults: object) -> None:
        """Replace the faults of a server."""
        message = standins_pb2.BackendFaults(**faults)  # type: ignore[arg-type]
        body = json_format.MessageToJson(message).encode()
        _exchange(self.servers[server].control, "POST", "/faults", body)

    def drain(self, server: str) -> None:
        """Start the drain of a server."""
        _exchange(self.servers[server].control, "POST", "/drain")

    def read_records(self) -> dict[str, list[standins_pb2.BackendRecord]]:
        """Read the requests that each server, killed or not, started to run."""
        return {
            name: _parse_records(self.path / f"{name}.records")
            for name in self.servers
        }


def _exchange(
    address: Address, method: str, path: str, body: bytes = b""
) -> bytes | None:
    result = curio.run(send_request(address, method, path, body, Seconds(2.0)))
    reply = result.value_or(None)
    if reply is None or reply.head.status != 200:
        return None
    return reply.body


def _parse_records(path: pathlib.Path) -> list[standins_pb2.BackendRecord]:
    if not path.exists():
        return []
    lines = path.read_text(encoding="utf-8").split("\n")
    # Text after the last line feed is empty, or the truncated record of a
    # killed process.
    return [
        json_format.Parse(line, standins_pb2.BackendRecord())
        for line in lines[:-1]
    ]
