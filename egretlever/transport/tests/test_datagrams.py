"""UDP endpoint and fault injector on loopback."""

import random

import curio

from egretlever.core import Address, Incarnation, Seconds
from egretlever.membership import DatagramPort, make_membership
from egretlever.testing import builders, run_virtual
from egretlever.transport import DatagramEndpoint, InjectedFaults

LOOPBACK = Address("127.0.0.1", 0)


def test_datagram_reaches_its_receiver_after_the_delay():
    # Guards against delays that block the sender.
    async def main():
        faults = InjectedFaults(random.Random(1), delay=Seconds(2.0))
        left = DatagramEndpoint(LOOPBACK, faults)
        right = DatagramEndpoint(LOOPBACK)
        start = await curio.clock()
        await left.send(right.address, b"hello")
        assert await curio.clock() == start
        received = await right.receive()
        await left.close()
        await right.close()
        return received, left.address, await curio.clock() - start

    received, sender, duration = run_virtual(main())
    assert received == (b"hello", sender)
    assert duration >= 2.0


def test_cut_holds_in_one_direction_only():
    # Guards against a cut that also loses the way back.
    async def main():
        faults = InjectedFaults(random.Random(1))
        left = DatagramEndpoint(LOOPBACK, faults)
        right = DatagramEndpoint(LOOPBACK, faults)
        faults.cuts.add((left.address, right.address))
        await left.send(right.address, b"lost")
        await right.send(left.address, b"kept")
        received, _ = await left.receive()
        lost = await curio.ignore_after(1, right.receive)
        return received, lost

    assert run_virtual(main()) == (b"kept", None)


def test_two_members_meet_over_udp():
    # Guards against a codec or port that loses parts of a real exchange.
    async def main():
        ends = [DatagramEndpoint(LOOPBACK) for _ in range(2)]
        members = [
            make_membership(
                builders.build_header(number, gossip=end.address),
                Incarnation(1),
                [other.address for other in ends if other is not end],
                rng=random.Random(number),
            )
            for number, end in enumerate(ends)
        ]
        ports = [DatagramPort(member) for member in members]
        for _ in range(40):
            for end, port in zip(ends, ports, strict=True):
                await end.send_all(port.advance(await curio.clock()))
            for end, port in zip(ends, ports, strict=True):
                while got := await curio.ignore_after(0.01, end.receive):
                    now = await curio.clock()
                    await end.send_all(port.receive(*got, now))
            await curio.sleep(0.1)
        return [len(member.nodes()) for member in members]

    assert run_virtual(main()) == [2, 2]
