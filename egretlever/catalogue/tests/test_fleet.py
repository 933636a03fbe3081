"""Guards against lost, repeated and undone edits, and nodes that revert.

Several operators edit concurrently while the stores fail, operators crash
between two effects on the stores, nodes restart, and messages between nodes are
late, duplicated and reordered. No node may return to an older version of the
catalogue, and once the faults end all nodes hold the latest (invariant I7).
"""

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
    compute_delta,
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
# Steps that an operator runs at once; one step ends before and one after the
# effect of each store operation. Small counts let operators race and crash
# between two effects, and the last count completes any edit. With counts drawn
# up to 20, most edits were left unfinished.
STEPS = (1, 2, 3, 5, 8, 60)
ENTRIES = ("ordering", "catalogue")


class Operator:
    """An operator with at most one edit in progress."""

    def __init__(self):
        self.stepper = None
        self.request = None
        # True once an earlier attempt may have applied the request.
        self.may_be_applied = False
        self.rebase = None


class Node:
    """A node whose actions are run by the state machine."""

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
        self.reader.set_polling(self.number == 0, 0.0)
        self.highest = 0


class Fleet(stateful.RuleBasedStateMachine):
    """Operators edit concurrently; nodes get the versions in any order."""

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
    def begin_edit(self, number, entry):
        """Edit the version that the operator reads, which may be stale."""
        operator = self.operators[number]
        if operator.stepper or operator.may_be_applied:
            return
        read = run_steps(self.editor.read_version())
        if not isinstance(read, Success):
            return
        snapshot = read.unwrap()
        content = builders.build_catalogue()
        for service in content.services:
            old_limit = snapshot.services[service.name].value.queue_limit
            increase = self.edits + 1 if service.name == entry else 0
            service.queue_limit = old_limit + increase
        self.send(operator, self.make_request(snapshot.head.version, content))

    @stateful.rule(number=OPERATORS, count=st.sampled_from(STEPS))
    def proceed(self, number, count):
        operator = self.operators[number]
        for _ in range(count):
            if operator.stepper and operator.stepper.step():
                self.finish_edit(operator)

    @stateful.rule(
        number=OPERATORS,
        entry=st.sampled_from(ENTRIES),
        delayed=st.sampled_from([0, 1, 3]),
    )
    def edit_with_delayed_writes(self, number, entry, delayed):
        """Needs its own rule: otherwise this is drawn too rarely to matter."""
        self.begin_edit(number, entry)
        self.tables.delayed_writes_left = delayed
        self.proceed(number, STEPS[-1])

    @stateful.rule(number=OPERATORS)
    def crash(self, number):
        """The process ends between any two effects on the stores."""
        operator = self.operators[number]
        if operator.stepper:
            operator.stepper.kill()
            operator.stepper, operator.may_be_applied = None, True

    @stateful.rule(number=OPERATORS)
    def retry(self, number):
        operator = self.operators[number]
        if operator.may_be_applied and not operator.stepper:
            self.send(operator, operator.request)

    @stateful.rule(number=OPERATORS)
    def accept_rebase(self, number):
        operator = self.operators[number]
        if (
            operator.rebase
            and not operator.stepper
            and not operator.may_be_applied
        ):
            winner, content = operator.rebase
            self.send(operator, self.make_request(winner.version, content))

    def finish_edit(self, operator):
        result, operator.stepper = operator.stepper.result, None
        edit_id = operator.request.edit_id
        if isinstance(result, Success):
            assert isinstance(result.unwrap(), Applied)
            self.applied.add(edit_id)
            operator.may_be_applied = False
            return
        failure = result.failure()
        if isinstance(failure, EditConflict):
            assert failure.winner.edit_id != edit_id
            self.refused.add(edit_id)
            operator.may_be_applied = False
            if failure.rebase is not None:
                operator.rebase = (failure.winner, failure.rebase)
        elif isinstance(failure, EffectUnknown):
            operator.may_be_applied = True
        elif not operator.may_be_applied:
            self.refused.add(edit_id)

    # Faults of the stores.

    @stateful.rule(unavailable=st.booleans(), objects_too=st.booleans())
    def set_availability(self, unavailable, objects_too):
        self.tables.unavailable = unavailable
        self.objects.unavailable = unavailable and objects_too

    @stateful.rule(
        lost=st.sampled_from([0, 1, 3]), delayed=st.sampled_from([0, 1, 3])
    )
    def lose_responses(self, lost, delayed):
        self.tables.lost_answers_left = lost
        self.tables.delayed_writes_left = delayed

    @stateful.rule()
    def apply_delayed_writes(self):
        run_steps(self.tables.apply_delayed_writes())

    @stateful.rule(writes=st.integers(0, 3))
    def make_reads_stale(self, writes):
        self.tables.stale_writes = writes

    # Nodes.

    @stateful.rule(node=st.integers(0, NODES - 1), seconds=st.floats(0, 4))
    def run_node(self, node, seconds):
        self.now += seconds
        self.run_actions(
            self.nodes[node], self.nodes[node].reader.advance(self.now)
        )

    @stateful.rule(node=st.integers(0, NODES - 1), data=st.data())
    def receive(self, node, data):
        """Messages arrive late, twice and in any order."""
        if not self.messages:
            return
        number = data.draw(st.integers(0, len(self.messages) - 1))
        self.send_event(self.nodes[node], self.decode(self.messages[number]))

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

    def send_event(self, node, event):
        self.run_actions(node, node.reader.observe(event, self.now))

    def run_actions(self, node, actions):
        for action in actions:
            if isinstance(action, ReadHead):
                read = run_steps(self.editor.read_head())
                found = isinstance(read, Success)
                self.send_event(
                    node,
                    HeadRead(read.unwrap()) if found else HeadUnavailable(),
                )
            elif isinstance(action, AskPeers):
                self.ask_peers(node)
            elif isinstance(action, FetchFromStore):
                read = run_steps(self.editor.read_snapshot(action.head.digest))
                found = isinstance(read, Success)
                self.send_event(
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
                self.send_event(
                    node, PeerHead(str(peer.number), peer.state.head)
                )
        if all(peer is node or not peer.state.head for peer in self.nodes):
            self.send_event(node, NoPeers())

    def fetch(self, node, action):
        peer = self.nodes[int(action.peer)]
        held = peer.state.snapshot_
        if held is None or held.head.version < action.head.version:
            self.send_event(node, FetchFailed(action.head))
        else:
            self.send_event(node, VersionReceived(held))

    def announce(self, node, action):
        snapshot = node.state.snapshot_
        self.messages.append((node.number, action.head, None, False))
        self.messages.append(
            (node.number, action.head, snapshot.to_bytes(), False)
        )
        if action.delta is not None:
            body = encode_delta(action.delta)
            self.messages.append((node.number, action.head, body, True))

    @stateful.invariant()
    def versions_at_a_node_never_go_back(self):
        for node in self.nodes:
            assert node.state.version >= node.highest
            node.highest = node.state.version
            assert not node.reader.ready or node.state.head is not None

    # The end, without faults.

    def teardown(self):
        if not hasattr(self, "requests"):
            return
        self.tables.unavailable = self.objects.unavailable = False
        self.tables.stale_writes = self.tables.delayed_writes_left = 0
        self.tables.lost_answers_left = 0
        for operator in self.operators:
            while operator.stepper:
                if operator.stepper.step():
                    self.finish_edit(operator)
        run_steps(self.tables.apply_delayed_writes())
        self.check_history()
        for _ in range(40):
            self.now += 0.5
            for node in self.nodes:
                self.run_actions(node, node.reader.advance(self.now))
                for message in self.messages[-6:]:
                    self.send_event(node, self.decode(message))
        head = run_steps(self.editor.read_head()).unwrap()
        assert [node.state.head for node in self.nodes] == [head] * NODES
        assert all(node.reader.ready for node in self.nodes)

    def check_history(self):
        edits = run_steps(self.editor.history(1000)).unwrap()
        versions = [edit.head.version for edit in edits]
        assert versions == list(range(len(edits), 0, -1))
        applied_ids = [edit.head.edit_id for edit in edits]
        assert len(set(applied_ids)) == len(applied_ids), (
            "an edit was applied twice"
        )
        assert self.applied <= set(applied_ids), "an edit was lost"
        assert not self.refused & set(applied_ids), "a refused edit took effect"
        later = None
        for edit in edits:
            snapshot = run_steps(
                self.editor.read_snapshot(edit.head.digest)
            ).unwrap()
            assert snapshot.head == edit.head
            request = self.requests[edit.head.edit_id]
            assert edit.base_version == request.base_version
            if later is not None:
                delta = compute_delta(snapshot, later)
                assert len(delta.services) == 1, "an edit undid another one"
            later = snapshot


TestFleet = Fleet.TestCase
TestFleet.settings = hypothesis.settings(
    max_examples=120, stateful_step_count=50
)


def test_applying_a_request_does_not_change_it():
    """The same request is sent again when its effect is unknown."""
    fleet = Fleet()
    request = fleet.make_request(1, builders.build_catalogue())
    request.content.services[0].queue_limit = 3
    before = dataclasses.replace(request)
    size = request.content.ByteSize()
    run_steps(fleet.editor.apply(request))
    assert request == before
    assert request.content.ByteSize() == size
