"""Guards fleets of processes against addresses that are handed out twice."""

import socket

from egretlever.testing import reserve_addresses


def test_addresses_are_not_reserved_twice_before_they_are_bound():
    ports = [one.port for _ in range(50) for one in reserve_addresses(4)]
    assert len(set(ports)) == len(ports)


def test_addresses_lie_below_the_ports_of_outgoing_connections():
    assert all(one.port < 32768 for one in reserve_addresses(50))


def test_a_bound_port_is_not_reserved():
    (address,) = reserve_addresses(1)
    with socket.socket() as holder:
        holder.bind((address.ip, address.port + 1))
        (following,) = reserve_addresses(1)
    assert following.port != address.port + 1
