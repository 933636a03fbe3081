"""Guards UDP endpoints and their fault injection, on loopback."""

import random

import curio

from egretlever.core import Address, Incarnation, Seconds
from egretlever.membership import DatagramPort, make_membership
from egretlever.testing import builders, run_virtual
from egretlever.transport import DatagramEndpoint, InjectedFaults

LOOPBACK = Address("127.0.0.1", 0)


def test_datagram_arrives_after_the_injected_delay():
    # Guards against an injected delay that blocks the sender.
    async def main():
        faults = InjectedFaults(random.Random(1), delay=Seconds(2.0))
        first = DatagramEndpoint(LOOPBACK, faults)
        second = DatagramEndpoint(LOOPBACK)
        start = await curio.clock()
        await first.send(second.address, b"hello")
        assert await curio.clock() == start
        received = await second.receive()
        await first.close()
        await second.close()
        return received, first.address, await curio.clock() - start

    received, sender, duration = run_virtual(main())
    assert received == (b"hello", sender)
    assert duration >= 2.0


def test_partition_affects_one_direction_only():
    # Guards against a one-way partition that also drops the other direction.
    async def main():
        faults = InjectedFaults(random.Random(1))
        first = DatagramEndpoint(LOOPBACK, faults)
        second = DatagramEndpoint(LOOPBACK, faults)
        faults.cuts.add((first.address, second.address))
        await first.send(second.address, b"lost")
        await second.send(first.address, b"kept")
        received, _ = await first.receive()
        lost = await curio.ignore_after(1, second.receive)
        return received, lost

    assert run_virtual(main()) == (b"kept", None)


def test_two_members_discover_each_other_over_udp():
    # Guards against a codec or port that loses messages between two members.
    async def main():
        endpoints = [DatagramEndpoint(LOOPBACK) for _ in range(2)]
        members = [
            make_membership(
                builders.build_node_header(number, gossip=endpoint.address),
                Incarnation(1),
                [other.address for other in endpoints if other is not endpoint],
                rng=random.Random(number),
            )
            for number, endpoint in enumerate(endpoints)
        ]
        ports = [DatagramPort(member) for member in members]
        for _ in range(40):
            for endpoint, port in zip(endpoints, ports, strict=True):
                await endpoint.send_all(port.advance(await curio.clock()))
            for endpoint, port in zip(endpoints, ports, strict=True):
                while datagram := await curio.ignore_after(
                    0.01, endpoint.receive
                ):
                    now = await curio.clock()
                    await endpoint.send_all(port.receive(*datagram, now))
            await curio.sleep(0.1)
        return [len(member.nodes()) for member in members]

    assert run_virtual(main()) == [2, 2]
