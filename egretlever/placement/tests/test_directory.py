"""Guards the directory against delayed answers, and its size."""

import tracemalloc

from egretlever.core import Version
from egretlever.placement import Directory
from egretlever.testing.relay_builders import build_home_server

ONE, TWO = build_home_server(1), build_home_server(2)


def test_an_older_row_or_removal_is_ignored():
    directory = Directory()
    directory.update(build_home_server(1, slots=8), Version(7))
    assert not directory.update(ONE, Version(6))
    assert not directory.remove(ONE.id, Version(5))
    assert directory.find(ONE.id).slots == 8


def test_an_older_row_does_not_restore_a_removed_server():
    directory = Directory()
    directory.update(ONE, Version(3))
    assert directory.remove(ONE.id, Version(5))
    assert not directory.update(ONE, Version(4))
    assert directory.list_servers("ordering") == []


def test_servers_that_come_and_go_leave_little_behind():
    # A thousand hosts are replaced each day, and most servers have a new id
    # after each start.
    directory = Directory()
    tracemalloc.start()
    for number in range(30_000):
        server = build_home_server(number)
        directory.update(server, Version(2 * number))
        directory.remove(server.id, Version(2 * number + 1))
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert size < 1_000_000  # bytes
    assert not directory.update(server, Version(0))


def test_a_stale_read_of_the_table_keeps_newer_rows():
    directory = Directory()
    directory.update(ONE, Version(3))
    directory.update(TWO, Version(9))
    directory.replace([], Version(5))
    assert directory.list_servers("ordering") == [TWO]


def test_a_server_that_changes_its_service_is_removed_from_the_old_one():
    directory = Directory()
    directory.update(ONE, Version(1))
    moved = build_home_server(1, service="catalogue")
    directory.update(moved, Version(2))
    assert directory.list_servers("ordering") == []
    assert directory.list_servers("catalogue") == [moved]
    assert directory.list_at(ONE.relay) == [moved]
