"""Tests handovers to a node that starts while the store is unavailable."""

import dataclasses
import random

import curio
import pytest

from egretlever.core import Version
from egretlever.placement import Directory
from egretlever.platform import StoredRow
from egretlever.relay._changes import TableChange
from egretlever.relay._configuration import ConfigurationHolder
from egretlever.relay._handover import HandoverExchange
from egretlever.testing import run_virtual
from egretlever.testing.relay_builders import (
    build_configuration,
    build_home_server,
)

ONE, TWO = build_home_server(1), build_home_server(2)


class ExchangeFixture:
    """A node's exchange, its directory and the configurations that it took."""

    def __init__(self, version=None, *servers):
        self.directory = Directory()
        self.versions = []
        self.synced = False
        self.configuration = ConfigurationHolder(self.configure)
        self.exchange = HandoverExchange(
            self.directory,
            self.configuration,
            lambda: self.synced,
            random.Random(2),
        )
        if version is not None:
            rows = [(server, Version(version)) for server in servers]
            self.directory.replace(rows, Version(version))
            self.configuration.replace(
                build_configuration(version=Version(version))
            )

    def configure(self, configuration):
        if self.versions and configuration.version <= self.versions[-1]:
            return False
        self.versions.append(configuration.version)
        return True


class DirectPeer:
    """Hands over at once what a connected node holds."""

    def __init__(self, asking, holding):
        self.asking, self.holding = asking, holding
        self.requests = 0

    async def request_handover(self):
        self.requests += 1
        handover = self.holding.exchange.describe()
        if handover is not None:
            self.asking.exchange.take(handover)


def test_handover_carries_the_configuration_and_the_directory():
    holding, starting = ExchangeFixture(7, ONE, TWO), ExchangeFixture()
    starting.exchange.take(holding.exchange.describe())
    assert starting.versions == [7]
    assert starting.directory.complete
    assert starting.directory.find(TWO.id) == TWO
    # It can pass on what it was handed.
    assert starting.exchange.describe() == holding.exchange.describe()


def test_newest_configuration_of_several_nodes_counts():
    # One of them may have been cut off from the store for long.
    starting = ExchangeFixture()
    for version, servers in ((9, [TWO]), (7, [ONE]), (8, [ONE, TWO])):
        holding = ExchangeFixture(version, *servers)
        starting.exchange.take(holding.exchange.describe())
    assert starting.versions == [9]
    assert starting.directory.version == 9
    # A server that has left is not known again.
    assert starting.directory.list_all() == [TWO]


def test_node_that_has_read_the_store_takes_no_handover():
    starting = ExchangeFixture()
    starting.synced = True
    starting.exchange.take(ExchangeFixture(7, ONE).exchange.describe())
    assert not starting.versions
    assert not len(starting.directory)


def test_invalid_configuration_is_not_taken():
    holding, starting = ExchangeFixture(7, ONE), ExchangeFixture()
    handover = holding.exchange.describe()
    invalid = TableChange(
        Version(0), Version(8), (StoredRow("orders", b"{", Version(8)),)
    )
    starting.exchange.take(dataclasses.replace(handover, configuration=invalid))
    assert not starting.versions
    assert starting.exchange.describe() is None


@pytest.mark.parametrize(("holds", "requests"), [(7, 3), (None, 20)])
def test_node_asks_until_some_nodes_have_replied(holds, requests):
    holding, starting = ExchangeFixture(holds, ONE), ExchangeFixture()
    peer = DirectPeer(starting, holding)

    async def main():
        starting.exchange.add_peer(peer)
        task = await curio.spawn(
            starting.exchange.request_until_synced, daemon=True
        )
        await curio.sleep(10.2)
        await task.cancel()

    run_virtual(main())
    assert peer.requests == requests


def test_node_that_reads_the_store_at_its_start_asks_nobody():
    starting = ExchangeFixture()
    peer = DirectPeer(starting, ExchangeFixture(7, ONE))

    async def main():
        starting.exchange.add_peer(peer)
        task = await curio.spawn(
            starting.exchange.request_until_synced, daemon=True
        )
        await curio.sleep(0.1)
        starting.synced = True
        await task.join()

    run_virtual(main())
    assert peer.requests == 0
