"""Latency added by a node, and its CPU time and memory.

One node, one server stand-in with a service time of 0 and the platform
stand-in run as processes on loopback. Each request is sent twice over
persistent connections, directly and through the node in random order, so that
both measurements see the same state of the machine.
"""

import os
import pathlib
import random
import socket
import statistics
import time
from collections.abc import Callable, Sequence

from benchmarks._report import Bound, Measure, run_benchmark
from egretlever.core import Address
from egretlever.testing import SmallFleet

REQUEST_COUNT = 3000
_WARM_UP_COUNT = 300
_ORDER_COUNT = 1000
_IDLE_TIME_S = 10.0
_ADDED_LATENCY_TARGET_MS = 1.1  # at the 99th percentile
_CPU_TARGET_PERCENT = 2.3  # of a core
_MEMORY_TARGET_MB = 256.0
_CATALOGUE = """
[rank normal]
priority = 0
worth = 1
minimum_share = 0.1
target_s = 1

[service bench]
owner = bench
rank = normal
floor_share = 0.5

[route orders]
path = /orders
methods = POST
service = bench
order = true

[route pages]
path = /pages
methods = GET
service = bench
"""

RequestFactory = Callable[[int], bytes]


class _Client:
    """Persistent connection that carries one request at a time."""

    def __init__(self, address: Address) -> None:
        self._sock = socket.create_connection((address.ip, address.port), 10)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def call(self, request: bytes) -> float:
        """Send a request and return its latency in ms."""
        began = time.perf_counter()
        self._sock.sendall(request)
        data = b""
        while (end := data.find(b"\r\n\r\n")) < 0:
            data += self._receive()
        head = data[:end].lower()
        if not head.startswith(b"http/1.1 200"):
            raise RuntimeError(f"unexpected answer {head[:200]!r}")
        length = head.partition(b"content-length:")[2].partition(b"\r\n")[0]
        missing = end + 4 + int(length) - len(data)
        while missing > 0:
            missing -= len(self._receive())
        return (time.perf_counter() - began) * 1000

    def _receive(self) -> bytes:
        data = self._sock.recv(65536)
        if not data:
            raise RuntimeError("connection closed before the answer ended")
        return data

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()


def _make_page(number: int) -> bytes:
    return (
        b"GET /pages/%d HTTP/1.1\r\nhost: bench\r\nx-token: t%d\r\n"
        b"x-answer-bytes: 1024\r\n\r\n" % (number, number)
    )


def _make_order(number: int) -> bytes:
    return (
        b"POST /orders HTTP/1.1\r\nhost: bench\r\nx-token: t%d\r\n"
        b"egretlever-order-key: key-%d\r\ncontent-length: 2\r\n\r\n{}"
        % (number, number)
    )


def _measure_paired_latencies(
    direct: _Client,
    proxied: _Client,
    make_request: RequestFactory,
    count: int,
    seed: int,
) -> tuple[list[float], list[float]]:
    """Return the paired latencies in ms of direct and proxied requests."""
    randomness = random.Random(seed)
    times: tuple[list[float], list[float]] = ([], [])
    for number in range(count):
        sides = [(direct, times[0]), (proxied, times[1])]
        randomness.shuffle(sides)
        for client, latencies in sides:
            latencies.append(client.call(make_request(number)))
    return times


def _find_percentile(values: Sequence[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


def _report_pairs(
    name: str, direct: list[float], proxied: list[float], target: float | None
) -> list[Measure]:
    added = [
        after - before for before, after in zip(direct, proxied, strict=True)
    ]
    measures = []
    for label, values in (
        ("direct", direct),
        ("through the node", proxied),
        ("paired difference", added),
    ):
        median = statistics.median(values)
        percentile_99 = _find_percentile(values, 0.99)
        measures.append(Measure(f"{name}, {label}, median", median, "ms"))
        measures.append(Measure(f"{name}, {label}, p99", percentile_99, "ms"))
    difference = _find_percentile(proxied, 0.99) - _find_percentile(
        direct, 0.99
    )
    bound = Bound.NONE if target is None else Bound.AT_MOST
    measures.append(
        Measure(f"{name}, added at p99", difference, "ms", target, bound)
    )
    return measures


def _read_cpu(pid: int) -> float:
    """Read the CPU time that a process has used, in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="utf-8")
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _read_memory(pid: int) -> float:
    """Read the resident memory of a process, in MB."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    return int(text.partition("VmRSS:")[2].split()[0]) / 1000


def _start(fleet: SmallFleet) -> int:
    """Start the processes and return the node's process id."""
    fleet.start_platform()
    fleet.start_nodes(1)
    fleet.start_server(
        "bench-0", "bench", "node-0", service_time_s=0.0, slots=4
    )
    path = fleet.path / "catalogue.ini"
    path.write_text(_CATALOGUE, encoding="utf-8")
    fleet.apply_catalogue(path)
    if not fleet.wait_ready(1):
        raise RuntimeError("the fleet did not become ready")
    return fleet.programs["node-0"].process.pid


def _measure_pages(
    pid: int, clients: list[_Client], seed: int
) -> list[Measure]:
    direct, proxied = clients
    _measure_paired_latencies(direct, proxied, _make_page, _WARM_UP_COUNT, seed)
    before = _read_cpu(pid)
    pages = _measure_paired_latencies(
        direct, proxied, _make_page, REQUEST_COUNT, seed
    )
    cpu = (_read_cpu(pid) - before) / REQUEST_COUNT * 1000
    return [
        *_report_pairs("GET of 1 KB", *pages, _ADDED_LATENCY_TARGET_MS),
        Measure("CPU time of the node per GET", cpu, "ms"),
    ]


def _measure_idle(pid: int) -> list[Measure]:
    before = _read_cpu(pid)
    time.sleep(_IDLE_TIME_S)
    share = (_read_cpu(pid) - before) / _IDLE_TIME_S * 100
    return [
        Measure(
            "CPU of the idle node",
            share,
            "% of a core",
            _CPU_TARGET_PERCENT,
            Bound.AT_MOST,
        ),
        Measure(
            "memory of the node",
            _read_memory(pid),
            "MB",
            _MEMORY_TARGET_MB,
            Bound.AT_MOST,
        ),
    ]


def run(seed: int) -> list[Measure]:
    """Measure one node between a caller and a server.

    Parameters
    ----------
    seed : int
        Seed of the order of the two requests of each pair.

    Returns
    -------
    list of Measure
        Latencies, CPU time and memory.
    """
    with SmallFleet() as fleet:
        pid = _start(fleet)
        clients = [
            _Client(fleet.servers["bench-0"].traffic),
            _Client(fleet.nodes["node-0"].traffic),
        ]
        try:
            measures = _measure_pages(pid, clients, seed)
            orders = _measure_paired_latencies(
                clients[0], clients[1], _make_order, _ORDER_COUNT, seed
            )
        finally:
            for client in clients:
                client.close()
        measures += _report_pairs("order", *orders, None)
        return measures + _measure_idle(pid)


if __name__ == "__main__":
    run_benchmark("latency", run)
