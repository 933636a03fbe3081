"""Guards decoders against malformed and hostile input from the platform."""

import json

import pytest
from returns.result import Failure

from egretlever.core import Address
from egretlever.platform import (
    decode_bounds,
    decode_configuration,
    decode_departure,
    decode_heartbeat,
    parse_server_path,
)
from egretlever.platform.tests.wire_builders import (
    build_configuration_body,
    build_heartbeat_body,
)


def decode(fields):
    return decode_heartbeat("i-1", json.dumps(fields).encode())


def test_heartbeat_is_decoded():
    heartbeat = decode(build_heartbeat_body()).unwrap()
    assert heartbeat.address == Address("127.0.0.1", 8080)
    assert (heartbeat.service, heartbeat.slots, heartbeat.draining) == (
        "ordering",
        2,
        False,
    )
    assert heartbeat.incarnation == 1_700_000_000_000


@pytest.mark.parametrize(
    "changes",
    [
        {"address": 7},
        {"address": "here:80"},
        {"info": None},
        {"info": {"service": "", "zone": "a", "slots": 1}},
        {"info": {"service": "a", "zone": "a", "slots": True}},
        {"info": {"service": "a", "zone": "a", "slots": 0}},
        {"status": {"state": "sleeping", "sequence": 1}},
        {"status": {"state": "ready", "sequence": "1"}},
        {"status": []},
        {"born": 1.5},
        {"born": "now"},
    ],
)
def test_malformed_heartbeat_is_rejected(changes):
    assert isinstance(decode(build_heartbeat_body(**changes)), Failure)


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b"\xff\xfe", b"[" * 99999])
def test_body_that_is_not_a_json_object_is_rejected(body):
    assert isinstance(decode_heartbeat("i-1", body), Failure)
    assert isinstance(decode_configuration(body), Failure)
    assert decode_departure(body) is None


def test_all_findings_of_a_heartbeat_are_reported_together():
    result = decode({"address": 1, "info": {}, "status": {}})
    assert len(result.failure()) >= 5


def test_configuration_is_decoded_with_its_limits():
    configuration = decode_configuration(
        build_configuration_body("0000000c")
    ).unwrap()
    route = configuration.routes[0]
    assert configuration.version == 12
    assert (route.host, route.prefix) == ("shop.example", "/orders/")
    assert (route.timeout, route.objective) == (4.0, 1.2)
    assert not route.idempotent
    assert configuration.limits.max_body_bytes == 1024


def test_traffic_split_omits_services_with_zero_weight():
    split = [
        {"service": "a", "weight": 90},
        {"service": "b", "weight": 0},
    ]
    body = build_configuration_body(trafficSplit=split)
    backends = decode_configuration(body).unwrap().routes[0].backends
    assert [backend.service for backend in backends] == ["a"]


@pytest.mark.parametrize(
    "spec",
    [
        {"timeout": "soon"},
        {"prefix": "/orders"},
        {"maxAttempts": 0},
        {"trafficSplit": []},
        {"host": None},
    ],
)
def test_configuration_with_one_finding_is_rejected_as_a_whole(spec):
    result = decode_configuration(build_configuration_body(**spec))
    assert isinstance(result, Failure)


def test_server_id_is_parsed_only_from_server_paths():
    assert parse_server_path("/instances/i-1") == "i-1"
    for target in ("/instances/", "/instances/a/b", "/other/i-1", "/"):
        assert parse_server_path(target) is None


def test_unknown_bounds_are_ignored_and_invalid_ones_are_findings():
    bounds = decode_bounds(["grace=7s", "other=x", "budgetSlack=5"]).unwrap()
    assert (bounds.grace, bounds.retry_slack) == (7.0, 5.0)
    findings = decode_bounds(["grace=7", "budgetSlack=many"]).failure()
    assert len(findings) == 2


def test_lines_that_name_no_bound_are_findings():
    # They were ignored, so that a node ran with defaults for all bounds.
    lines = ['{"grace":"7s"', '"budgetSlack":430}']
    assert len(decode_bounds(lines).failure()) == 2
