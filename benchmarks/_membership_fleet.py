"""Fleet of members that share a message queue, for the benchmark."""

import dataclasses
import random
from collections.abc import Callable

from egretlever.core import (
    Digest,
    Incarnation,
    Seconds,
    ServerState,
    Version,
)
from egretlever.membership import (
    CatalogueHead,
    Change,
    ChangeKind,
    Collaborators,
    GossipMembership,
    Parameters,
    make_membership,
)
from egretlever.testing import (
    FakeCatalogueCopy,
    GossipNetwork,
    SharedPacker,
    builders,
)

SERVERS = 14
SEEDS = 4
LOSS_SHARE = 0.1
CUT_LINK_SHARE = 0.05
DELTA = bytes(300)


class ChangeTimes:
    """Records which nodes learned of a change, and when."""

    def __init__(self) -> None:
        self.servers: dict[object, dict[object, float]] = {}
        self.catalogue: dict[object, float] = {}

    def make_listener(self, node: object) -> "ChangeListener":
        """Create the listener of one node."""
        return ChangeListener(self, node)


@dataclasses.dataclass
class ChangeListener:
    """Listener that records the changes that one node learns of."""

    change_times: ChangeTimes
    node: object

    def observe(self, change: Change, now: Seconds) -> None:
        """Record the time of a change."""
        if change.kind is ChangeKind.CATALOGUE_HEAD:
            self.change_times.catalogue[self.node] = now
        elif change.kind is ChangeKind.SERVERS_CHANGED:
            for server in change.servers:
                seen = self.change_times.servers.get(server)
                if seen is not None:
                    seen.setdefault(self.node, now)


class Fleet:
    """Members that know one another and share a message queue."""

    def __init__(self, size: int, seed: int) -> None:
        self.network = GossipNetwork(seed)
        self.change_times = ChangeTimes()
        self.packer = SharedPacker()
        self.headers = [builders.build_node_header(n) for n in range(size)]
        self.seeds = [header.gossip for header in self.headers[:SEEDS]]
        self.copies: dict[object, FakeCatalogueCopy] = {}
        self._rng = random.Random(seed)
        for number in range(size):
            self.start(number, Incarnation(1))
        now = self.network.now
        deltas = [member.own_delta(now) for member in self.members()]
        for member in self.members():
            member.restore(deltas, now)

    def members(self) -> list[GossipMembership]:
        """Return the running members."""
        return list(self.network.members.values())

    def start(self, number: int, incarnation: Incarnation) -> None:
        """Start a member and announce its 14 servers."""
        while number >= len(self.headers):
            self.headers.append(builders.build_node_header(len(self.headers)))
        header = self.headers[number]
        copy = FakeCatalogueCopy(
            CatalogueHead(Version(1), Digest("300")), DELTA
        )
        self.copies[header.node] = copy
        member = make_membership(
            header,
            incarnation,
            self.seeds,
            # Servers are announced only once here, so they must not time out.
            Parameters(announcement_timeout=1e6),
            collaborators=Collaborators(
                catalogue=copy,
                listener=self.change_times.make_listener(header.node),
                packer=self.packer,
            ),
            rng=random.Random(self._rng.getrandbits(32)),
        )
        self.network.add(header, member)
        self.announce(number, ServerState.SERVING, incarnation)

    def announce(
        self, number: int, state: ServerState, incarnation: Incarnation
    ) -> None:
        """Announce all servers of a node in one state."""
        address = self.headers[number].gossip
        for server in range(SERVERS):
            self.network.members[address].announce(
                builders.build_announcement(
                    server, number, state=state, incarnation=incarnation
                ),
                self.network.now,
            )
        self.network.reschedule(address)

    def member(self, number: int) -> GossipMembership:
        """Return a member by its number."""
        return self.network.members[self.headers[number].gossip]

    def break_links(self) -> None:
        """Drop 10% of messages and cut 5% of the links in one direction."""
        self.network.loss = LOSS_SHARE
        addresses = list(self.network.members)
        for sender in addresses:
            count = int(CUT_LINK_SHARE * len(addresses))
            for receiver in self._rng.sample(addresses, count):
                if (receiver, sender) not in self.network.blocked_paths:
                    self.network.blocked_paths.add((sender, receiver))

    def run_until(self, done: Callable[[], bool], limit: float) -> None:
        """Run until a condition holds, or for at most `limit` seconds."""
        end = self.network.now + limit
        while not done() and self.network.now < end:
            self.network.run(0.25)
