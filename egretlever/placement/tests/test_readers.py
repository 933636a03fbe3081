"""Tests the choice of the node that reads the directory for others."""

import dataclasses

from hypothesis import given
from hypothesis import strategies as st

from egretlever.core import Address, FailureDomain, Seconds, Version
from egretlever.placement import Directory, ReaderSelector, TreeSelector
from egretlever.testing.relay_builders import build_home_server

DOMAIN = FailureDomain("domain-0")
NOW = Seconds(100.0)
NEAR = [
    build_home_server(number, failure_domain=DOMAIN) for number in range(1, 9)
]
FAR = build_home_server(0, failure_domain=FailureDomain("domain-1"))


def make_directory(*servers):
    directory = Directory()
    directory.replace([(server, Version(1)) for server in servers], Version(1))
    return directory


def make_selector(own, *servers):
    return ReaderSelector(make_directory(*servers), DOMAIN, own.relay)


def test_lowest_node_of_the_failure_domain_reads_for_the_others():
    servers = [*reversed(NEAR), FAR]
    choices = {make_selector(own, *servers).choose(NOW) for own in NEAR}
    assert choices == {None, NEAR[0].relay}
    assert make_selector(NEAR[0], *servers).choose(NOW) is None


def test_node_with_a_leaving_server_is_not_chosen():
    leaving = dataclasses.replace(NEAR[0], draining=True)
    selector = make_selector(NEAR[5], leaving, *NEAR[1:])
    assert selector.choose(NOW) == NEAR[1].relay


def test_node_that_failed_is_chosen_again_after_a_while():
    selector = make_selector(NEAR[5], *NEAR)
    selector.exclude(NEAR[0].relay, NOW)
    assert selector.choose(NOW) == NEAR[1].relay
    assert selector.choose(Seconds(NOW + 11.0)) == NEAR[0].relay
    selector.exclude(NEAR[0].relay, Seconds(NOW + 11.0))
    assert selector.choose(Seconds(NOW + 22.0)) == NEAR[1].relay
    assert selector.choose(Seconds(NOW + 32.0)) == NEAR[0].relay


def test_node_reads_the_store_itself_when_all_others_failed():
    selector = make_selector(NEAR[1], *NEAR)
    selector.exclude(NEAR[0].relay, NOW)
    assert selector.choose(NOW) is None


@given(
    known=st.lists(
        st.sets(st.integers(0, 7)), min_size=len(NEAR), max_size=len(NEAR)
    ),
    failed=st.lists(
        st.sets(st.integers(0, 7)), min_size=len(NEAR), max_size=len(NEAR)
    ),
)
def test_nodes_never_follow_each_other_in_a_circle(known, failed):
    # Whatever each node knows, one of each group of nodes reads the store.
    choices: dict[Address, Address | None] = {}
    for number, own in enumerate(NEAR):
        selector = make_selector(own, *(NEAR[other] for other in known[number]))
        for other in failed[number]:
            selector.exclude(NEAR[other].relay, NOW)
        choices[own.relay] = selector.choose(NOW)
    for start in choices:
        relay, steps = start, 0
        while (found := choices[relay]) is not None:
            relay, steps = found, steps + 1
            assert steps < len(NEAR)


def make_tree_selector(own, servers, near=lambda domain: True):
    return TreeSelector(
        make_directory(*servers), own.failure_domain, own.relay, near, fan_out=2
    )


def test_nodes_of_a_region_form_a_tree_with_one_reader():
    servers = [
        build_home_server(number, failure_domain=FailureDomain(domain))
        for domain, numbers in (("a", range(9)), ("b", range(20, 40)))
        for number in numbers
    ]
    sources = {
        own.relay: make_tree_selector(own, servers).choose(NOW)
        for own in servers
    }
    assert [relay for relay, found in sources.items() if found is None] == [
        servers[0].relay
    ]
    followers = [found for found in sources.values() if found is not None]
    # Two of its own failure domain, and the first node of the other one.
    assert max(followers.count(relay) for relay in sources) == 3
    assert sources[servers[9].relay] == servers[0].relay
    for relay in sources:
        steps = 0
        while (found := sources[relay]) is not None:
            relay, steps = found, steps + 1
        assert steps <= 5


def test_first_node_of_a_region_reads_the_store_itself():
    selector = make_tree_selector(
        FAR, [*NEAR, FAR], near=lambda domain: domain == FAR.failure_domain
    )
    assert selector.choose(NOW) is None


def test_node_follows_another_source_while_its_own_has_failed():
    selector = make_tree_selector(NEAR[7], NEAR)
    assert selector.choose(NOW) == NEAR[3].relay
    selector.exclude(NEAR[3].relay, NOW)
    assert selector.choose(NOW) == NEAR[2].relay
    assert selector.choose(Seconds(NOW + 2.1)) == NEAR[3].relay


@given(
    known=st.lists(
        st.sets(st.integers(0, 7)), min_size=len(NEAR), max_size=len(NEAR)
    ),
    failed=st.lists(
        st.sets(st.integers(0, 7)), min_size=len(NEAR), max_size=len(NEAR)
    ),
    far=st.sets(st.integers(0, 7)),
)
def test_sources_never_form_a_circle(known, failed, far):
    # Nodes that wait for each other would never get a configuration.
    nodes = [
        dataclasses.replace(
            own, failure_domain=FAR.failure_domain if number in far else DOMAIN
        )
        for number, own in enumerate(NEAR)
    ]
    choices: dict[Address, Address | None] = {}
    for number, own in enumerate(nodes):
        selector = make_tree_selector(
            own, [nodes[other] for other in known[number]]
        )
        for other in failed[number]:
            selector.exclude(nodes[other].relay, NOW)
        choices[own.relay] = selector.choose(NOW)
    for start in choices:
        relay, steps = start, 0
        while (found := choices[relay]) is not None:
            relay, steps = found, steps + 1
            assert steps < len(nodes)
