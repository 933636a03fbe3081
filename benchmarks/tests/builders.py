"""Builders of the records that the checks of randomised runs compare."""

import dataclasses
import random

from benchmarks._relay_soak_configurations import (
    ConfigurationHistory,
    ConfigurationVersion,
)
from benchmarks._relay_soak_records import SentRequest
from benchmarks._soak_history import Edit, History, Sample, Span
from benchmarks._soak_plan import Kind
from egretlever.schema import standins_pb2


def make_sample(at, version, ready=True, node="node-0"):
    """Make a reading of a node's status that took 10 ms."""
    return Sample(node, at, at + 0.01, ready, version)


def make_span(
    kind=Kind.SERVER_DRAIN, target="server-0", began=100.0, **changes
):
    """Make a span of an event that lasted 8 s."""
    values = {"ended": began + 8.0, "announced": began, **changes}
    return Span(kind, target, values.pop("detail", ""), began, **values)


def make_run(at, request="r", order=""):
    """Make a server's record of a request that it ran."""
    return standins_pb2.BackendRecord(
        request_id=request, order_key=order, at_unix_s=at
    )


def make_result(at, **changes):
    """Make the result of an attempt of 0.5 s at 127.0.0.1:1."""
    values = {"request_id": "r", "node": "127.0.0.1:1", "latency_s": 0.5}
    return standins_pb2.LoadResult(began_unix_s=at, **{**values, **changes})


def make_history(spans=(), samples=(), edits=()):
    """Make a history without recorded violations."""
    return History(list(spans), list(samples), list(edits))


def make_edit(version, accepted):
    """Make an accepted edit."""
    return Edit(version, accepted, "operator-1")


def build_sent(**changes):
    """Build an order that got a signed answer with status 200."""
    sent = SentRequest(
        request="r-1",
        host="host-1",
        idempotent=False,
        reused=True,
        begun=1.0,
        ended=1.5,
        status=200,
        body=b"r-1 i-1",
        signed=True,
    )
    return dataclasses.replace(sent, **changes)


def build_configurations(*versions):
    """Build a history of versions, each with its routes and confirmation."""
    history = ConfigurationHistory(random.Random(1))
    history.versions = [
        ConfigurationVersion(number, routes, confirmed, confirmed)
        for number, (confirmed, routes) in enumerate(versions, 1)
    ]
    return history
