"""Application of received records, and anti-entropy by digests."""

from collections.abc import Sequence

from returns.result import Success

from egretlever.core import (
    Address,
    Incarnation,
    NodeId,
    NodeState,
    Seconds,
    Version,
)
from egretlever.membership._interfaces import ChangeKind
from egretlever.membership._liveness import Liveness
from egretlever.membership._messages import (
    Drop,
    Message,
    MessageFields,
    Priority,
    RecordVersion,
    Suspicion,
    measure_version,
)
from egretlever.membership._pages import Pages
from egretlever.membership._pulls import Pulls
from egretlever.membership._records import NodeRecord, RecordDelta
from egretlever.membership._state import State

MAX_VERSIONS_BYTES = 800
MAX_VERSION_MESSAGES = 1
MAX_PUSHED_RECORDS = 2
PULL_PEERS = 4


class Gossip:
    """Applies received records and exchanges those that either side lacks.

    Parameters
    ----------
    state : State
        Shared state of the member.
    liveness : Liveness
        Handles suspicions found when versions are compared.
    pages : Pages
        Packs and sends records.
    """

    def __init__(self, state: State, liveness: Liveness, pages: Pages) -> None:
        self._state = state
        self._liveness = liveness
        self._pulls = Pulls()
        self._pages = pages

    @property
    def missing(self) -> int:
        """Number of records of which a newer version is known to exist."""
        return len(self._pulls)

    def apply_deltas(
        self, message: Message, sender: Address, now: Seconds
    ) -> None:
        """Apply the deltas of a message and disseminate the changes."""
        self._receive_deltas(message.deltas, message, sender, now)

    def apply_page(
        self, message: Message, sender: Address, now: Seconds
    ) -> None:
        """Apply the deltas in the compressed page of a message."""
        if not message.page:
            return
        unpacked = self._state.packer.unpack(message.page)
        if isinstance(unpacked, Success):
            self._receive_deltas(unpacked.unwrap(), message, sender, now)
        else:
            self._state.count(unpacked.failure())

    def _receive_deltas(
        self,
        deltas: Sequence[RecordDelta],
        message: Message,
        sender: Address,
        now: Seconds,
    ) -> None:
        for delta in deltas:
            if delta.node == self._state.node:
                self._receive_own_delta(delta, now)
            else:
                self._receive_delta(delta, message.sender, sender, now)

    def _receive_own_delta(self, delta: RecordDelta, now: Seconds) -> None:
        own = self._state.own.record
        if (delta.incarnation, delta.version) <= own.stamp:
            return
        # Only this node writes its record, so a newer version of it comes
        # from another process with the same node id.
        self._liveness.report_duplicate(self._state.node, now)
        if delta.header is not None and delta.incarnation > own.incarnation:
            named = RecordVersion(delta.node, delta.incarnation, delta.version)
            self._state.send_address(
                delta.header.gossip, Priority.PROBE, versions=(named,)
            )

    def _receive_delta(
        self,
        delta: RecordDelta,
        origin: NodeId,
        address: Address,
        now: Seconds,
    ) -> None:
        view = self._state.view
        stamp = (delta.incarnation, delta.version)
        if view.has_tombstone(delta.node, stamp):
            self._state.count(Drop.STALE_RECORD)
            if delta.node == origin:
                suspicion = view.make_tombstone_suspicion(delta.node)
                self._state.send_address(
                    address, Priority.PROBE, suspicions=(suspicion,)
                )
            return
        held = view.records.get(delta.node)
        suspected = delta.node in view.suspicions
        record = view.apply(delta, now)
        if record is None:
            if held is not None and stamp <= held.stamp:
                self._state.count(Drop.STALE_RECORD)
            else:
                self._request_record(
                    RecordVersion(delta.node, *stamp), origin, now
                )
            return
        self._pulls.note_arrival(delta.node, record.stamp)
        self._announce_change(delta, held, origin, now)
        if suspected and delta.node not in view.suspicions:
            self._state.notify(ChangeKind.NODE_CLEARED, delta.node, now)

    def _announce_change(
        self,
        delta: RecordDelta,
        held: NodeRecord | None,
        origin: NodeId,
        now: Seconds,
    ) -> None:
        old = held.entries if held else {}
        left = delta.state is NodeState.LEFT
        departures = held is not None and any(
            entry.departing
            and not (entry.id in old and old[entry.id].departing)
            for entry in delta.entries
        )
        base = Version(0)
        if held is not None and held.incarnation == delta.incarnation:
            base = held.version
        new_incarnation = not base
        urgent = departures or (left and held is not None)
        # A starting node does not forward the records that it loads: the
        # peers that sent them hold them already.
        if urgent or not self._state.misses_many_records():
            self._state.disseminate_record(
                delta.node, base, urgent, now, origin
            )
        if new_incarnation:
            self._state.notify(ChangeKind.NODE_JOINED, delta.node, now)
        if left:
            self._state.notify(ChangeKind.NODE_LEFT, delta.node, now)
        if delta.entries:
            servers = [entry.id for entry in delta.entries]
            self._state.notify(
                ChangeKind.SERVERS_CHANGED, delta.node, now, servers
            )

    def _request_record(
        self, version: RecordVersion, origin: NodeId, now: Seconds
    ) -> None:
        held = self._state.view.version_of(version.node)
        self._pulls.add(version, origin, now)
        self._state.send(origin, Priority.PROBE, wanted=(held,))

    def compare_digest(self, digest: Sequence[int]) -> list[int]:
        """Return the buckets whose hashes differ, in random order."""
        own = self._state.view.digest
        if len(digest) != len(own):
            self._state.count(Drop.REQUEST)
            return []
        differing = [
            bucket
            for bucket, value in enumerate(digest)
            if value != own[bucket]
        ]
        self._state.rng.shuffle(differing)
        return differing

    def answer_digest(
        self, digest: Sequence[int], address: Address
    ) -> MessageFields:
        """List the versions in differing buckets.

        Returns
        -------
        dict
            Fields for the answer. When most buckets differ, as they do for a
            node that starts, the lists are limited to
            ``MAX_VERSION_MESSAGES`` messages; any after the first are
            queued.
        """
        differing = self.compare_digest(digest)
        messages = 1 if len(differing) <= 8 else MAX_VERSION_MESSAGES
        pages: list[MessageFields] = []
        while differing and len(pages) < messages:
            pages.append(self._list_versions(differing))
        for page in pages[1:]:
            self._state.send_address(address, Priority.ORDINARY, **page)
        return pages[0] if pages else {}

    def _list_versions(self, differing: list[int]) -> MessageFields:
        buckets: list[int] = []
        versions: list[RecordVersion] = []
        free_bytes = MAX_VERSIONS_BYTES
        while differing:
            found = self._state.view.versions(differing[-1])
            free_bytes -= sum(measure_version(version) for version in found)
            if free_bytes < 0 and buckets:
                break
            buckets.append(differing.pop())
            # Long node ids could exceed a datagram; later rounds find the rest.
            versions += found[:40]
            if len(found) > 40:
                buckets.pop()
                break
        return {"buckets": tuple(buckets), "versions": tuple(versions)}

    def compare_versions(
        self, message: Message, address: Address, now: Seconds
    ) -> None:
        """Record what this node lacks and push what the sender lacks."""
        view = self._state.view
        pushed: list[RecordVersion] = []
        suspicions: list[Suspicion] = []
        listed = set()
        for version in message.versions:
            listed.add(version.node)
            stamp = (version.incarnation, version.version)
            held = view.version_of(version.node)
            if view.has_tombstone(version.node, stamp):
                suspicions.append(view.make_tombstone_suspicion(version.node))
            elif (held.incarnation, held.version) < stamp:
                if version.node != self._state.node:
                    self._pulls.add(version, message.sender)
            elif (held.incarnation, held.version) > stamp:
                pushed.append(version)
            else:
                self._compare_death(held, version, suspicions, now)
        for bucket in message.buckets:
            pushed += (
                [
                    RecordVersion(version.node, Incarnation(0), Version(0))
                    for version in view.versions(bucket)
                    if version.node not in listed
                ]
                if bucket < len(view.digest)
                else []
            )
        if len(pushed) <= MAX_PUSHED_RECORDS:
            self._pages.push(pushed, address, now)
        else:
            # Many peers may find that the sender lacks the same records. It
            # is sent their versions only, so that it pulls each record once.
            self._send_versions(pushed, address)
        if suspicions:
            self._state.send_address(
                address, Priority.ORDINARY, suspicions=tuple(suspicions[:16])
            )

    def _send_versions(
        self, behind: Sequence[RecordVersion], address: Address
    ) -> None:
        versions: list[RecordVersion] = []
        free_bytes = MAX_VERSIONS_BYTES
        for version in behind:
            free_bytes -= measure_version(version)
            if free_bytes < 0:
                break
            versions.append(self._state.view.version_of(version.node))
        self._state.send_address(
            address, Priority.ORDINARY, versions=tuple(versions)
        )

    def _compare_death(
        self,
        held: RecordVersion,
        version: RecordVersion,
        suspicions: list[Suspicion],
        now: Seconds,
    ) -> None:
        if version.dead and not held.dead:
            self._liveness.receive_suspicion(
                Suspicion(
                    version.node,
                    version.incarnation,
                    version.version,
                    NodeState.DEAD,
                ),
                now,
            )
        elif held.dead and not version.dead:
            suspicions.append(self._liveness.suspicion_of(held.node, now))

    def pull(self, now: Seconds) -> None:
        """Request missing records, preferably from peers that reported them."""
        pulls = self._pulls.choose(now)
        local = self._state.contacts.pick_local(PULL_PEERS)
        for index, (source, nodes) in enumerate(pulls):
            peer = source
            if peer is None or not self._state.is_live(peer):
                peer = local[index % len(local)] if local else None
            if peer is None:
                continue
            self._state.send(
                peer,
                Priority.PROBE,
                wanted=tuple(map(self._state.view.version_of, nodes)),
                deltas=self._state.introduction(now),
            )

    def discard_held(self) -> None:
        """Discard missing entries whose records are held or were dropped."""
        view = self._state.view
        for version in self._pulls.versions():
            stamp = (version.incarnation, version.version)
            held = view.records.get(version.node)
            if (held and held.stamp >= stamp) or view.has_tombstone(
                version.node, stamp
            ):
                self._pulls.discard(version.node)
