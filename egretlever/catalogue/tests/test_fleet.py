"""Guards I7 and edits with several operators and nodes under faults."""

import dataclasses
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
from returns.result import Success

from egretlever.catalogue import (
    Announce,
    Applied,
    AskPeers,
    EditConflict,
    EditRequest,
    EffectUnknown,
    FetchFailed,
    FetchFromPeer,
    FetchFromStore,
    HeadRead,
    HeadUnavailable,
    NoPeers,
    PeerHead,
    ReadHead,
    VersionReceived,
    compare_snapshots,
    decode_delta,
    decode_snapshot,
    encode_delta,
    make_catalogue_editor,
    make_catalogue_reader,
    make_catalogue_state,
)
from egretlever.testing import (
    FakeObjectStore,
    FaultyTableStore,
    SteppedObjectStore,
    SteppedTableStore,
    Stepper,
    builders,
    run_steps,
)

NODES = 3
OPERATORS = st.integers(0, 2)
# Few steps let operators race and die between two effects, and the last count
# ends any edit. Drawn counts up to 20 left most edits unfinished.
STEPS = (1, 2, 3, 5, 8, 60)
ENTRIES = ("ordering", "catalogue")


class Operator:
    """One operator, who has at most one edit under way."""

    def __init__(self):
        self.stepper = None
        self.request = None
        # True once an earlier try of the request may have taken effect.
        self.open = False
        self.rebase = None


class Node:
    """A node whose reads and messages are carried out by the machine."""

    def __init__(self, number):
        self.number = number
        self.starts = 0
        self.start()

    def start(self):
        self.starts += 1
        self.state = make_catalogue_state()
        self.reader = make_catalogue_reader(
            self.state, random.Random(self.number * 1000 + self.starts)
        )
        self.reader.set_reader(self.number == 0, 0.0)
        self.highest = 0


class Fleet(stateful.RuleBasedStateMachine):
    """Operators race over the stores while nodes hear of it in any order."""

    def __init__(self):
        super().__init__()
        self.tables = FaultyTableStore()
        self.objects = FakeObjectStore()
        self.stepped = make_catalogue_editor(
            SteppedTableStore(self.tables), SteppedObjectStore(self.objects)
        )
        self.editor = make_catalogue_editor(self.tables, self.objects)
        self.operators = [Operator() for _ in range(3)]
        self.nodes = [Node(number) for number in range(NODES)]
        self.now = 0.0
        self.edits = 0
        self.requests = {}
        self.applied, self.refused = set(), set()
        self.messages = []
        first = self.make_request(0, builders.build_catalogue())
        assert run_steps(self.editor.apply(first)).unwrap().head.version == 1
        self.applied.add(first.edit_id)

    # Operators.

    def make_request(self, base_version, content):
        self.edits += 1
        content.ClearField("version")
        content.ClearField("edit_id")
        request = EditRequest(
            f"e{self.edits}", "op", base_version, content, float(self.edits)
        )
        self.requests[request.edit_id] = request
        return request

    def send(self, operator, request):
        operator.request = request
        operator.rebase = None
        operator.stepper = Stepper(self.stepped.apply(request))

    @stateful.rule(number=OPERATORS, entry=st.sampled_from(ENTRIES))
    def begin(self, number, entry):
        """Edit the version in force as the operator's own read shows it."""
        operator = self.operators[number]
        if operator.stepper or operator.open:
            return
        read = run_steps(self.editor.read_version())
        if not isinstance(read, Success):
            return
        snapshot = read.unwrap()
        content = builders.build_catalogue()
        for service in content.services:
            held = snapshot.services[service.name].value.queue_limit
            change = self.edits + 1 if service.name == entry else 0
            service.queue_limit = held + change
        self.send(operator, self.make_request(snapshot.head.version, content))

    @stateful.rule(number=OPERATORS, count=st.sampled_from(STEPS))
    def proceed(self, number, count):
        operator = self.operators[number]
        for _ in range(count):
            if operator.stepper and operator.stepper.step():
                self.finish(operator)

    @stateful.rule(
        number=OPERATORS,
        entry=st.sampled_from(ENTRIES),
        late=st.sampled_from([0, 1, 3]),
    )
    def edit_while_writes_are_late(self, number, entry, late):
        """Without a rule of its own this was drawn too rarely to matter."""
        self.begin(number, entry)
        self.tables.delay_writes = late
        self.proceed(number, STEPS[-1])

    @stateful.rule(number=OPERATORS)
    def die(self, number):
        """The process ends between any two effects on the stores."""
        operator = self.operators[number]
        if operator.stepper:
            operator.stepper.kill()
            operator.stepper, operator.open = None, True

    @stateful.rule(number=OPERATORS)
    def try_again(self, number):
        operator = self.operators[number]
        if operator.open and not operator.stepper:
            self.send(operator, operator.request)

    @stateful.rule(number=OPERATORS)
    def accept_rebase(self, number):
        operator = self.operators[number]
        if operator.rebase and not operator.stepper and not operator.open:
            winner, content = operator.rebase
            self.send(operator, self.make_request(winner.version, content))

    def finish(self, operator):
        result, operator.stepper = operator.stepper.result, None
        edit_id = operator.request.edit_id
        if isinstance(result, Success):
            assert isinstance(result.unwrap(), Applied)
            self.applied.add(edit_id)
            operator.open = False
            return
        failure = result.failure()
        if isinstance(failure, EditConflict):
            assert failure.winner.edit_id != edit_id
            self.refused.add(edit_id)
            operator.open = False
            if failure.rebase is not None:
                operator.rebase = (failure.winner, failure.rebase)
        elif isinstance(failure, EffectUnknown):
            operator.open = True
        elif not operator.open:
            self.refused.add(edit_id)

    # Faults of the stores.

    @stateful.rule(away=st.booleans(), both=st.booleans())
    def switch_stores(self, away, both):
        self.tables.away = away
        self.objects.away = away and both

    @stateful.rule(
        lost=st.sampled_from([0, 1, 3]), late=st.sampled_from([0, 1, 3])
    )
    def lose(self, lost, late):
        self.tables.lose_answers = lost
        self.tables.delay_writes = late

    @stateful.rule()
    def deliver_late_writes(self):
        run_steps(self.tables.deliver())

    @stateful.rule(writes=st.integers(0, 3))
    def make_stale(self, writes):
        self.tables.stale_writes = writes

    # Nodes.

    @stateful.rule(node=st.integers(0, NODES - 1), seconds=st.floats(0, 4))
    def run_node(self, node, seconds):
        self.now += seconds
        self.carry_out(
            self.nodes[node], self.nodes[node].reader.advance(self.now)
        )

    @stateful.rule(node=st.integers(0, NODES - 1), data=st.data())
    def receive(self, node, data):
        """Messages arrive late, twice and in any order."""
        if not self.messages:
            return
        number = data.draw(st.integers(0, len(self.messages) - 1))
        self.feed(self.nodes[node], self.decode(self.messages[number]))

    @stateful.rule(node=st.integers(0, NODES - 1))
    def restart(self, node):
        self.nodes[node].start()

    def decode(self, message):
        sender, head, body, is_delta = message
        if body is None:
            return PeerHead(str(sender), head)
        if is_delta:
            return VersionReceived(decode_delta(body).unwrap())
        return VersionReceived(decode_snapshot(body, head.digest).unwrap())

    def feed(self, node, event):
        self.carry_out(node, node.reader.observe(event, self.now))

    def carry_out(self, node, actions):
        for action in actions:
            if isinstance(action, ReadHead):
                read = run_steps(self.editor.read_head())
                found = isinstance(read, Success)
                self.feed(
                    node,
                    HeadRead(read.unwrap()) if found else HeadUnavailable(),
                )
            elif isinstance(action, AskPeers):
                self.ask_peers(node)
            elif isinstance(action, FetchFromStore):
                read = run_steps(self.editor.read_snapshot(action.head.digest))
                found = isinstance(read, Success)
                self.feed(
                    node,
                    VersionReceived(read.unwrap())
                    if found
                    else FetchFailed(action.head),
                )
            elif isinstance(action, FetchFromPeer):
                self.fetch(node, action)
            elif isinstance(action, Announce):
                self.announce(node, action)

    def ask_peers(self, node):
        for peer in self.nodes:
            if peer is not node:
                self.feed(node, PeerHead(str(peer.number), peer.state.head))
        if all(peer is node or not peer.state.head for peer in self.nodes):
            self.feed(node, NoPeers())

    def fetch(self, node, action):
        peer = self.nodes[int(action.peer)]
        held = peer.state.snapshot_
        if held is None or held.head.version < action.head.version:
            self.feed(node, FetchFailed(action.head))
        else:
            self.feed(node, VersionReceived(held))

    def announce(self, node, action):
        snapshot = node.state.snapshot_
        self.messages.append((node.number, action.head, None, False))
        self.messages.append((node.number, action.head, snapshot.join(), False))
        if action.delta is not None:
            body = encode_delta(action.delta)
            self.messages.append((node.number, action.head, body, True))

    @stateful.invariant()
    def versions_at_a_node_never_go_back(self):
        for node in self.nodes:
            assert node.state.version >= node.highest
            node.highest = node.state.version
            assert not node.reader.ready or node.state.head is not None

    # End: all faults are over.

    def teardown(self):
        if not hasattr(self, "requests"):
            return
        self.tables.away = self.objects.away = False
        self.tables.stale_writes = self.tables.delay_writes = 0
        self.tables.lose_answers = 0
        for operator in self.operators:
            while operator.stepper:
                if operator.stepper.step():
                    self.finish(operator)
        run_steps(self.tables.deliver())
        self.check_history()
        for _ in range(40):
            self.now += 0.5
            for node in self.nodes:
                self.carry_out(node, node.reader.advance(self.now))
                for message in self.messages[-6:]:
                    self.feed(node, self.decode(message))
        head = run_steps(self.editor.read_head()).unwrap()
        assert [node.state.head for node in self.nodes] == [head] * NODES
        assert all(node.reader.ready for node in self.nodes)

    def check_history(self):
        edits = run_steps(self.editor.history(1000)).unwrap()
        versions = [edit.head.version for edit in edits]
        assert versions == list(range(len(edits), 0, -1))
        made = [edit.head.edit_id for edit in edits]
        assert len(set(made)) == len(made), "an edit was applied twice"
        assert self.applied <= set(made), "an edit was lost"
        assert not self.refused & set(made), "a refused edit took effect"
        later = None
        for edit in edits:
            snapshot = run_steps(
                self.editor.read_snapshot(edit.head.digest)
            ).unwrap()
            assert snapshot.head == edit.head
            request = self.requests[edit.head.edit_id]
            assert edit.base_version == request.base_version
            if later is not None:
                delta = compare_snapshots(snapshot, later)
                assert len(delta.services) == 1, "an edit undid another one"
            later = snapshot


TestFleet = Fleet.TestCase
TestFleet.settings = hypothesis.settings(
    max_examples=120, stateful_step_count=50
)


def test_requests_are_not_changed_by_their_application():
    """The same request is applied again after an unknown effect."""
    fleet = Fleet()
    request = fleet.make_request(1, builders.build_catalogue())
    request.content.services[0].queue_limit = 3
    before = dataclasses.replace(request)
    size = request.content.ByteSize()
    run_steps(fleet.editor.apply(request))
    assert request == before
    assert request.content.ByteSize() == size
