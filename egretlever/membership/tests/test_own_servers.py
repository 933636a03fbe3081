"""Guards that a node learns at once of the servers on its own host."""

from egretlever.core import Incarnation, Seconds, ServerState
from egretlever.membership import ChangeKind, Collaborators, make_membership
from egretlever.testing import builders


class Listener:
    def __init__(self):
        self.changes = []

    def observe(self, change, now):
        self.changes.append((change.kind, change.servers))


def test_each_change_of_an_own_server_is_told():
    # A node alone never used its own servers, and none noticed the departure
    # of its own servers before another record changed.
    listener = Listener()
    member = make_membership(
        builders.build_header(),
        Incarnation(1),
        collaborators=Collaborators(listener=listener),
    )
    for state in (
        ServerState.SERVING,
        ServerState.SERVING,
        ServerState.DRAINING,
    ):
        member.announce(builders.build_announcement(state=state), Seconds(1.0))
    told = (ChangeKind.SERVERS_CHANGED, ("server-1-1",))
    assert listener.changes == [told, told]
