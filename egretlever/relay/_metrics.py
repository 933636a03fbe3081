"""Metrics of a relay node, rendered on its own loop."""

import prometheus_client
from prometheus_client import Counter, Gauge, Histogram

REQUESTS = Counter(
    "egretlever_relay_requests",
    "Requests of clients by how they ended and by status.",
    ["ending", "status"],
)
OFFERS = Counter(
    "egretlever_relay_offers",
    "Offers to home nodes by reply.",
    ["reply"],
)
LOAD_SPREAD = Gauge(
    "egretlever_relay_load_spread",
    "Load of the busiest server of the own failure domain over the mean load,"
    " by the reports of the home nodes.",
    ["service"],
)
REPORT_AGE_SECONDS = Histogram(
    "egretlever_relay_report_age_seconds",
    "Age of the reports that choices of home nodes rest on.",
    buckets=(0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10),
)
EXCLUSIONS = Counter(
    "egretlever_relay_exclusions",
    "Home nodes without an offer of a request that none takes, by what kept it"
    " from them.",
    ["reason"],
)
REQUEST_SECONDS = Histogram(
    "egretlever_relay_request_seconds",
    "Time from a whole request to its answer.",
    buckets=(0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10),
)
CONNECTIONS_CUT = Counter(
    "egretlever_relay_connections_cut",
    "Client connections that ended with an answer unfinished, by reason.",
    ["reason"],
)
HELD_BYTES = Gauge(
    "egretlever_relay_held_bytes",
    "Bytes held for clients and other nodes, by kind.",
    ["kind"],
)
MEMORY_PRESSURE = Counter(
    "egretlever_relay_memory_pressure",
    "Requests and connections refused or dropped for want of memory or file"
    " descriptors, by kind of bytes.",
    ["event", "kind"],
)
STORE_CALLS = Counter(
    "egretlever_relay_store_calls",
    "Calls of the platform's store by kind and result.",
    ["call", "result"],
)
STORE_BYTES = Counter(
    "egretlever_relay_store_bytes",
    "Bytes of the store's answers with rows, by table.",
    ["table"],
)
SHARED_CHANGES = Counter(
    "egretlever_relay_shared_changes",
    "Changes of a table received from another node.",
    ["table"],
)
HEARTBEATS = Counter(
    "egretlever_relay_heartbeats",
    "Heartbeats and departures by effect.",
    ["effect"],
)
ARRIVALS = Counter(
    "egretlever_relay_arrivals",
    "Requests for the own server by what they count as in the retry budget.",
    ["kind"],
)
RETRIES_REFUSED = Counter(
    "egretlever_relay_retries_refused",
    "Offers refused for want of retry budget.",
)
RETRY_ALLOWANCE = Gauge(
    "egretlever_relay_retry_allowance",
    "The home node's part of the retry budget, in retries per window.",
)
RETRIES_IN_WINDOW = Gauge(
    "egretlever_relay_retries_in_window",
    "Retries, and nested calls of retried requests, in the current window.",
)
PERMITS = Counter(
    "egretlever_relay_permits",
    "Permits for requests of customers with a limit: requested from pool nodes,"
    " granted, refused, and granted from the own share.",
    ["result"],
)
OVER_ALLOTMENT = Counter(
    "egretlever_relay_over_allotment",
    "Requests refused because they are beyond their customer's allotment.",
)
CONFIGURATION_VERSION = Gauge(
    "egretlever_relay_configuration_version",
    "Version of the configuration in force.",
)
CONFIGURATION_AGE = Gauge(
    "egretlever_relay_configuration_age_seconds",
    "Time since the configuration was last known to be the newest.",
)
CONFIGURATION_HOPS = Gauge(
    "egretlever_relay_configuration_hops",
    "Nodes between the store and this one, through which the configuration"
    " comes.",
)
QUEUE_REQUESTS = Counter(
    "egretlever_relay_queue_requests",
    "Offers to the home node's queue by size of the customer and outcome, where"
    " the configuration names customers.",
    ["size", "outcome"],
)
SHARE_REFUSALS = Counter(
    "egretlever_relay_share_refusals",
    "Offers refused by home nodes because the customer exceeds its share.",
)
RETURNED_REQUESTS = Counter(
    "egretlever_relay_returned_requests",
    "Requests of clients that returned after a refusal, by how they ended.",
    ["ending"],
)
RETRY_AFTER_SECONDS = Histogram(
    "egretlever_relay_retry_after_seconds",
    "Retry-After of requests that no home node took, where the configuration"
    " names customers.",
    buckets=(0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10),
)
LATE_TURN_SECONDS = Histogram(
    "egretlever_relay_late_turn_seconds",
    "Time by which tasks ended after an enclosing timeout.",
    buckets=(0.01, 0.05, 0.1, 0.25, 0.5, 1, 2.5),
)
STORE_ERA = Gauge(
    "egretlever_relay_store_era",
    "Newest era of the store that is known; it increases when the store is"
    " restored from an older copy.",
)
ROWS_RESTORED = Counter(
    "egretlever_relay_rows_restored",
    "Own rows that were written or removed again after the store was restored.",
    ["change"],
)
SERVERS = Gauge("egretlever_relay_servers_known", "Servers in the directory.")


def count_pressure(event: str, kind: str) -> None:
    """Count a refusal or a drop."""
    MEMORY_PRESSURE.labels(event, kind).inc()


def render() -> bytes:
    """Render all metrics in the text format."""
    return prometheus_client.generate_latest()
