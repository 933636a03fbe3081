"""Tests of notifications about the servers on a node's own host."""

from egretlever.core import Incarnation, Seconds, ServerState
from egretlever.membership import ChangeKind, Collaborators, make_membership
from egretlever.testing import builders


class Listener:
    def __init__(self):
        self.changes = []

    def observe(self, change, now):
        self.changes.append((change.kind, change.servers))


def test_listener_is_notified_of_each_change_of_an_own_server():
    # Guards against listeners that are not notified of the node's own servers:
    # a node without peers never routed to them, and departures went unnoticed
    # until another record changed.
    listener = Listener()
    member = make_membership(
        builders.build_node_header(),
        Incarnation(1),
        collaborators=Collaborators(listener=listener),
    )
    for state in (
        ServerState.SERVING,
        ServerState.SERVING,
        ServerState.DRAINING,
    ):
        member.announce(builders.build_announcement(state=state), Seconds(1.0))
    expected = (ChangeKind.SERVERS_CHANGED, ("server-1-1",))
    assert listener.changes == [expected, expected]
