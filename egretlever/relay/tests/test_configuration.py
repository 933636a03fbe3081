"""Tests the changes between versions of the configuration."""

import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st

from egretlever.core import RouteId, Seconds, ServiceName, Version
from egretlever.placement import Backend, ClientLimits
from egretlever.platform import StoredRow
from egretlever.relay._changes import TableChange
from egretlever.relay._configuration import ConfigurationHolder
from egretlever.testing.relay_builders import build_configuration, build_route

NONE = Version(0)


def make_holder():
    applied = []

    def configure(configuration):
        applied.append(configuration)
        return True

    return ConfigurationHolder(configure), applied


def build_named_route(name, service="ordering", **changes):
    return build_route(
        id=RouteId(name),
        prefix=f"/{name}/",
        backends=(Backend(ServiceName(service), 1.0),),
        **changes,
    )


routes = st.dictionaries(
    st.sampled_from("abcdef"), st.sampled_from(["ordering", "catalogue"])
)


@given(st.lists(routes, min_size=1, max_size=8), st.integers(0, 7))
def test_changes_lead_every_receiver_to_the_same_configuration(drawn, late):
    sender, sent = make_holder()
    receiver, received = make_holder()
    for number, services in enumerate(drawn, start=1):
        configuration = build_configuration(
            build_named_route("first"),
            *(build_named_route(*item) for item in services.items()),
            version=Version(number),
        )
        change = sender.replace(configuration)
        if number == late + 1:
            change = sender.describe(receiver.version)
        if number > late:
            assert receiver.apply(change) is not None
            assert set(received[-1].routes) == set(configuration.routes)
            assert received[-1].version == number
    assert len(sent) == len(drawn)


def test_change_of_one_route_carries_one_row():
    # Every node read the whole configuration for each changed route.
    sender, _ = make_holder()
    many = [build_named_route(f"r{number}") for number in range(100)]
    sender.replace(build_configuration(*many))
    many[7] = dataclasses.replace(many[7], timeout=Seconds(1.0))
    change = sender.replace(build_configuration(*many, version=Version(9)))
    assert [row.key for row in change.rows] == ["r7"]
    assert (change.base, change.version) == (7, 9)


def test_limits_on_clients_are_passed_on():
    sender, _ = make_holder()
    receiver, received = make_holder()
    receiver.apply(sender.replace(build_configuration()))
    limits = ClientLimits(max_body_bytes=0, idle_timeout=Seconds(2.5))
    receiver.apply(
        sender.replace(build_configuration(version=Version(8), limits=limits))
    )
    assert received[-1].limits == limits


def test_older_version_is_ignored():
    sender, _ = make_holder()
    receiver, received = make_holder()
    old = sender.replace(build_configuration())
    new = sender.replace(build_configuration(version=Version(8)))
    receiver.apply(old)
    receiver.apply(new)
    assert receiver.apply(old) == TableChange(Version(8), Version(8))
    assert receiver.version == 8
    assert len(received) == 2


def test_change_from_another_version_is_not_applied():
    # A route that was removed in between would stay for good.
    sender, _ = make_holder()
    receiver, received = make_holder()
    sender.replace(build_configuration())
    change = sender.replace(build_configuration(version=Version(8)))
    receiver.replace(build_configuration(version=Version(3)))
    assert receiver.apply(change) is None
    assert receiver.version == 3


@pytest.mark.parametrize("value", [b"{", b"", b"\xff" * 9])
def test_change_with_an_invalid_route_is_not_applied(value):
    sender, _ = make_holder()
    receiver, received = make_holder()
    whole = sender.replace(build_configuration())
    invalid = StoredRow("other", value, Version(8))
    broken = dataclasses.replace(
        whole, version=Version(8), rows=(*whole.rows, invalid)
    )
    assert receiver.apply(broken) is None
    assert receiver.version == NONE
    assert not received
