"""Guards against port conflicts between the processes of a fleet.

A process fails to start when its port was given to another process as well, or
was taken by an outgoing connection.
"""

import socket

from egretlever.testing import reserve_addresses


def test_no_port_is_reserved_twice_before_it_is_bound():
    ports = [
        address.port for _ in range(50) for address in reserve_addresses(4)
    ]
    assert len(set(ports)) == len(ports)


def test_ports_are_below_the_ephemeral_range():
    assert all(address.port < 32768 for address in reserve_addresses(50))


def test_a_bound_port_is_not_reserved():
    (address,) = reserve_addresses(1)
    with socket.socket() as bound_socket:
        bound_socket.bind((address.ip, address.port + 1))
        (next_address,) = reserve_addresses(1)
    assert next_address.port != address.port + 1
