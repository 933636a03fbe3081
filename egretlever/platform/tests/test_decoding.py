"""Guards the boundary against damaged and hostile fields of the platform."""

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


def test_a_heartbeat_is_decoded_to_what_its_fields_hold():
    beat = decode(build_heartbeat_body()).unwrap()
    assert beat.address == Address("127.0.0.1", 8080)
    assert (beat.service, beat.slots, beat.draining) == ("ordering", 2, False)
    assert beat.incarnation == 1_700_000_000_000


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
def test_a_damaged_heartbeat_names_no_server(changes):
    assert isinstance(decode(build_heartbeat_body(**changes)), Failure)


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b"\xff\xfe", b"[" * 99999])
def test_bytes_that_are_no_object_are_refused(body):
    assert isinstance(decode_heartbeat("i-1", body), Failure)
    assert isinstance(decode_configuration(body), Failure)
    assert decode_departure(body) is None


def test_all_faults_of_a_heartbeat_are_found_together():
    result = decode({"address": 1, "info": {}, "status": {}})
    assert len(result.failure()) >= 5


def test_a_configuration_is_decoded_with_its_limits():
    found = decode_configuration(build_configuration_body("0000000c")).unwrap()
    route = found.routes[0]
    assert found.version == 12
    assert (route.host, route.prefix) == ("shop.example", "/orders/")
    assert (route.timeout, route.objective) == (4.0, 1.2)
    assert not route.idempotent
    assert found.limits.max_body_bytes == 1024


def test_a_split_leaves_services_without_weight_out():
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
def test_a_configuration_with_a_fault_is_refused_as_a_whole(spec):
    result = decode_configuration(build_configuration_body(**spec))
    assert isinstance(result, Failure)


def test_only_paths_of_servers_name_one():
    assert parse_server_path("/instances/i-1") == "i-1"
    for target in ("/instances/", "/instances/a/b", "/other/i-1", "/"):
        assert parse_server_path(target) is None


def test_bounds_that_are_not_known_are_ignored_and_faults_are_found():
    bounds = decode_bounds(["grace=7s", "other=x", "budgetSlack=5"]).unwrap()
    assert (bounds.grace, bounds.retry_slack) == (7.0, 5.0)
    faults = decode_bounds(["grace=7", "budgetSlack=many"]).failure()
    assert len(faults) == 2
