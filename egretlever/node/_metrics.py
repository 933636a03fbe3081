"""Prometheus metrics of the node, rendered on its event loop."""

from typing import Any

import prometheus_client
from prometheus_client import Counter, Gauge, Histogram

REQUESTS = Counter(
    "egretlever_requests",
    "Requests by how they ended for the caller.",
    ["service", "rank", "outcome"],
)
REFUSALS = Counter(
    "egretlever_refusals",
    "Requests that were not run, by reason.",
    ["reason"],
)
BAD_REQUESTS = Counter(
    "egretlever_bad_requests",
    "Requests refused for their form, by status.",
    ["status"],
)
REQUEST_SECONDS = Histogram(
    "egretlever_request_seconds",
    "Time from the head of a request to the end of its answer.",
    ["service"],
    buckets=(0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10),
)
ATTEMPTS = Counter(
    "egretlever_attempts",
    "Attempts on backend servers by result.",
    ["service", "result"],
)
CUT_ANSWERS = Counter(
    "egretlever_cut_answers",
    "Answers that ended early after their head had been passed on.",
)
HELD_BYTES = Gauge(
    "egretlever_held_bytes", "Bytes held for callers, by kind.", ["kind"]
)
MEMORY_PRESSURE = Counter(
    "egretlever_memory_pressure",
    "Requests and connections refused or dropped for want of memory or file"
    " descriptors, by kind of bytes.",
    ["event", "kind"],
)
LOST_CALLERS = Counter(
    "egretlever_lost_callers",
    "Callers that closed their connection before their answer was complete.",
)
IN_FLIGHT = Gauge(
    "egretlever_requests_in_flight", "Requests that have not ended."
)
WAITING = Gauge("egretlever_requests_waiting", "Requests that wait in queues.")
EJECTED = Gauge(
    "egretlever_servers_ejected", "Servers that this node has ejected."
)
HELD_BY_FLOOR = Gauge(
    "egretlever_servers_held_by_floor",
    "Bad servers that the floor keeps in service.",
)
KNOWN_SERVERS = Gauge("egretlever_servers_known", "Known backend servers.")
KNOWN_NODES = Gauge(
    "egretlever_nodes_known", "Known nodes by state.", ["state"]
)
DUPLICATE_NODES = Counter(
    "egretlever_duplicate_nodes",
    "Node ids that two processes were seen to use at once.",
)
CATALOGUE_VERSION = Gauge(
    "egretlever_catalogue_version", "Version of the catalogue in force."
)
GOSSIP_BYTES = Counter(
    "egretlever_gossip_bytes",
    "Bytes sent to and received from other nodes.",
    ["direction"],
)
DROPPED_MESSAGES = Counter(
    "egretlever_dropped_messages", "Messages dropped, by reason.", ["reason"]
)
LOOP_PAUSES = Counter(
    "egretlever_loop_pauses",
    "Times that the loop stood still for longer than 250 ms.",
)
STORE_ERRORS = Counter(
    "egretlever_store_errors", "Failed store operations by kind.", ["kind"]
)


_children: dict[tuple[object, ...], Any] = {}


def find_child(metric: Counter | Histogram, *labels: str) -> Any:
    """Return the child of a metric from a cache, faster than `labels` does.

    The cache never shrinks, so labels must come from a bounded set of values.
    """
    key = (metric, *labels)
    child = _children.get(key)
    if child is None:
        child = _children[key] = metric.labels(*labels)
    return child


def count_bad_request(status: int) -> None:
    """Count a refused request; status 0 stands for an exception."""
    BAD_REQUESTS.labels(status).inc()


def render_metrics() -> bytes:
    """Render all metrics in the Prometheus text format."""
    return prometheus_client.generate_latest()


def count_pressure(event: str, kind: str) -> None:
    """Count a refusal or a drop."""
    MEMORY_PRESSURE.labels(event, kind).inc()
