"""Guards injected link faults, on which the randomised runs rely."""

import random

import curio
import pytest

from egretlever.core import Address, Seconds
from egretlever.schema import faults_pb2
from egretlever.testing import run_virtual
from egretlever.transport import (
    NO_FAULTS,
    ConnectError,
    LinkFaultInjector,
    make_fault_injector,
    open_connection,
    open_listener,
    read_clock,
)


async def run_echo(body):
    """Run a coroutine function with an injector and an echo server."""
    listener = open_listener(Address("127.0.0.1", 0))
    address = Address("127.0.0.1", listener.getsockname()[1])

    async def echo():
        while True:
            sock, _ = await listener.accept()
            while data := await sock.recv(100):
                await sock.sendall(data)
            await sock.close()

    server = await curio.spawn(echo)
    try:
        return await body(LinkFaultInjector(random.Random(1)), address)
    finally:
        await server.cancel()
        await listener.close()


def make_fault(address, **changes):
    return faults_pb2.LinkFault(ip=address.ip, port=address.port, **changes)


@pytest.mark.parametrize(
    "direction", [faults_pb2.SENDING, faults_pb2.RECEIVING]
)
def test_bytes_sent_during_a_cut_arrive_complete_and_in_order(direction):
    # Guards against a cut that loses bytes, which TCP would retransmit.
    async def body(injector, address):
        sock = await open_connection(address, Seconds(1.0), injector)
        fault = make_fault(address, direction=direction, cut=True)
        injector.replace([fault])
        await sock.sendall(b"ab")
        await sock.sendall(b"cd")
        silent = await curio.ignore_after(5, sock.recv, 100)
        injector.replace([])
        received = b""
        while len(received) < 4:
            received += await sock.recv(100)
        await sock.close()
        return silent, received

    assert run_virtual(run_echo(body)) == (None, b"abcd")


def test_close_during_a_cut_is_delivered_afterwards():
    async def body(injector, address):
        sock = await open_connection(address, Seconds(1.0), injector)
        injector.replace([make_fault(address, cut=True)])
        await sock.close()
        descriptor = sock.fileno()
        injector.replace([])
        await curio.sleep(0.1)
        return descriptor >= 0, sock.fileno()

    assert run_virtual(run_echo(body)) == (True, -1)


def test_connecting_times_out_while_one_direction_is_cut():
    async def body(injector, address):
        fault = make_fault(address, direction=faults_pb2.RECEIVING, cut=True)
        injector.replace([fault])
        await open_connection(address, Seconds(1.0), injector)

    with pytest.raises(ConnectError) as caught:
        run_virtual(run_echo(body))
    assert caught.value.timed_out


def test_round_trip_has_the_delays_of_both_directions():
    async def body(injector, address):
        sock = await open_connection(address, Seconds(1.0), injector)
        injector.replace([make_fault(address, delay_s=0.5)])
        start = read_clock()
        await sock.sendall(b"a")
        await sock.recv(100)
        await sock.close()
        return read_clock() - start

    assert run_virtual(run_echo(body)) == pytest.approx(1.0, abs=0.05)


def test_datagrams_are_lost_only_on_the_faulty_link_and_direction():
    injector = LinkFaultInjector(random.Random(1))
    first, second = Address("127.0.0.1", 1), Address("127.0.0.1", 2)
    injector.replace(
        [make_fault(first, direction=faults_pb2.SENDING, loss_share=0.5)]
    )
    delays = [injector.find_delay(second, first) for _ in range(1000)]
    assert 400 < delays.count(None) < 600
    assert all(injector.accepts(first) for _ in range(100))
    assert injector.find_delay(first, second) == 0


def test_injector_without_faults_returns_the_socket_itself():
    # Guards against a socket wrapper that slows every request down.
    injector = make_fault_injector(False, random.Random(1))
    sock = object()
    assert injector is NO_FAULTS
    assert injector.wrap(sock, Address("127.0.0.1", 1)) is sock
