"""Guards edits of the catalogue against being lost, repeated or undone.

Conflicts, lost responses, stale reads and outages are covered one by one.
"""

import pytest

from egretlever.catalogue import (
    Applied,
    EditConflict,
    EditFindings,
    EditRefused,
    EditRequest,
    EffectUnknown,
    StoreUnavailable,
    Unchanged,
    make_catalogue_editor,
)
from egretlever.catalogue._edits import HEAD_KEY
from egretlever.testing import (
    FakeObjectStore,
    FaultyTableStore,
    builders,
    run_steps,
)


class EditorHarness:
    """An editor with fake stores, run without an event loop."""

    def __init__(self):
        self.tables = FaultyTableStore()
        self.objects = FakeObjectStore()
        self.editor = make_catalogue_editor(self.tables, self.objects)

    def apply(self, edit_id, base, **limits):
        return run_steps(self.editor.apply(build_edit(edit_id, base, **limits)))

    def read(self):
        snapshot = run_steps(self.editor.read_version()).unwrap()
        return {
            name: entry.value.queue_limit
            for name, entry in snapshot.services.items()
        }


def build_edit(edit_id, base, **limits):
    content = builders.build_catalogue()
    content.ClearField("version")
    content.ClearField("edit_id")
    for service in content.services:
        service.queue_limit = limits.get(service.name, service.queue_limit)
    return EditRequest(edit_id, "amina", base, content, 1e9, "limits")


@pytest.fixture
def harness():
    fixture = EditorHarness()
    assert fixture.apply("a", 0).unwrap().head.version == 1
    return fixture


def test_versions_grow_by_one_and_history_names_each(harness):
    harness.apply("b", 1, ordering=1)
    harness.apply("c", 2, ordering=2)
    edits = run_steps(harness.editor.history()).unwrap()
    found = [(edit.head.version, edit.head.edit_id) for edit in edits]
    assert found == [(3, "c"), (2, "b"), (1, "a")]
    assert edits[0].operator == "amina"
    assert len(run_steps(harness.editor.history(2)).unwrap()) == 2


def test_a_conflict_names_both_edits_and_offers_a_rebase(harness):
    harness.apply("b", 1, ordering=7)
    conflict = harness.apply("c", 1, catalogue=9).failure()
    assert isinstance(conflict, EditConflict)
    assert (conflict.edit_id, conflict.winner.edit_id) == ("c", "b")
    assert conflict.overlap == ()
    # The proposed rebase alone changes nothing.
    assert harness.read() == {"ordering": 7, "catalogue": 512}
    request = EditRequest("d", "amina", 2, conflict.rebase, 1e9)
    assert run_steps(harness.editor.apply(request)).unwrap().head.version == 3
    assert harness.read() == {"ordering": 7, "catalogue": 9}


def test_no_rebase_is_offered_when_entries_overlap(harness):
    harness.apply("b", 1, ordering=7)
    conflict = harness.apply("c", 1, ordering=8, catalogue=9).failure()
    assert conflict.overlap == ("service ordering",)
    assert conflict.rebase is None


def test_no_rebase_is_offered_when_the_result_has_findings(harness):
    """One edit removes a rank while the other starts to use it."""
    removal = build_edit("b", 1)
    del removal.content.routes[2]
    del removal.content.ranks[2]
    assert run_steps(harness.editor.apply(removal)).unwrap().head.version == 2
    usage = build_edit("c", 1)
    usage.content.services[1].rank = "background"
    conflict = run_steps(harness.editor.apply(usage)).failure()
    assert conflict.overlap == ()
    assert conflict.rebase is None


def test_a_concurrent_write_is_a_conflict(harness):
    """The head may change between its read and the transaction."""
    put = harness.objects.put

    async def write_concurrently(name, body):
        harness.objects.put = put
        harness.apply("b", 1, ordering=7)
        return await put(name, body)

    harness.objects.put = write_concurrently
    conflict = harness.apply("c", 1, catalogue=9).failure()
    assert (conflict.winner.edit_id, conflict.winner.version) == ("b", 2)
    assert conflict.rebase is not None


def test_a_lost_response_is_resolved_by_the_row_of_the_edit(harness):
    harness.tables.lost_answers_left = 1
    writes = harness.tables.writes
    assert isinstance(harness.apply("b", 1, ordering=7).unwrap(), Applied)
    assert harness.tables.writes == writes + 1


def test_a_lost_request_is_retried_and_applied_once(harness):
    harness.tables.delayed_writes_left = 1
    assert harness.apply("b", 1, ordering=7).unwrap().head.version == 2
    run_steps(harness.tables.apply_delayed_writes())
    assert run_steps(harness.editor.read_head()).unwrap().version == 2


def test_an_unknown_effect_is_resolved_by_the_same_edit_id(harness):
    harness.tables.delayed_writes_left = 3
    unknown = harness.apply("b", 1, ordering=7).failure()
    assert isinstance(unknown, EffectUnknown)
    run_steps(harness.tables.apply_delayed_writes())
    assert harness.apply("b", 1, ordering=7).unwrap().head.version == 2
    assert run_steps(harness.editor.read_head()).unwrap().version == 2


def test_a_stale_read_does_not_hide_an_applied_edit(harness):
    """A stale read misses the row of the edit, which the store has."""
    harness.apply("b", 1, ordering=7)
    harness.apply("c", 2, ordering=8)
    harness.tables.stale_writes = 2
    again = harness.apply("b", 1, ordering=7)
    assert again.unwrap().head.edit_id == "b"


def test_a_stale_head_does_not_refuse_a_valid_edit(harness):
    harness.apply("b", 1, ordering=7)
    harness.tables.stale_writes = 1
    assert harness.apply("c", 2, ordering=8).unwrap().head.version == 3


def test_an_edit_id_is_accepted_once(harness):
    harness.apply("b", 1, ordering=7)
    refused = harness.apply("b", 2, ordering=8).failure()
    assert isinstance(refused, EditRefused)
    assert "was used by amina" in refused.message


@pytest.mark.parametrize("part", ["tables", "objects"])
def test_an_outage_changes_nothing(harness, part):
    getattr(harness, part).unavailable = True
    assert isinstance(
        harness.apply("b", 1, ordering=7).failure(), StoreUnavailable
    )
    getattr(harness, part).unavailable = False
    assert harness.read()["ordering"] == 512
    # The same edit is applied once the store is available again.
    assert harness.apply("b", 1, ordering=7).unwrap().head.version == 2


def test_an_invalid_edit_is_refused_before_any_write(harness):
    writes = harness.tables.writes
    bad = build_edit("b", 1)
    bad.content.services[0].floor_share = 1
    bad.content.services[1].rank = "gone"
    failure = run_steps(harness.editor.apply(bad)).failure()
    assert isinstance(failure, EditFindings)
    assert len(failure.findings) == 2
    assert harness.tables.writes == writes


def test_an_edit_without_changes_writes_nothing(harness):
    assert isinstance(harness.apply("b", 1).unwrap(), Unchanged)


def test_a_rollback_is_a_new_edit_with_a_higher_version(harness):
    harness.apply("b", 1, ordering=7)
    harness.apply("c", 2, catalogue=9)
    request = build_edit("d", 3)
    result = run_steps(harness.editor.rollback(2, request)).unwrap()
    assert result.head.version == 4
    assert harness.read() == {"ordering": 7, "catalogue": 512}
    missing = run_steps(harness.editor.rollback(99, build_edit("e", 4)))
    assert "not in the history" in missing.failure().message


def test_a_damaged_snapshot_or_head_is_reported(harness):
    head = run_steps(harness.editor.read_head()).unwrap()
    run_steps(harness.objects.put(head.digest, b"damaged"))
    failure = run_steps(harness.editor.read_version()).failure()
    assert "does not match its digest" in failure.message
    # The next edit repairs the head.
    assert harness.apply("b", 1, ordering=7).unwrap().head.version == 2
    run_steps(harness.tables.write({HEAD_KEY: b"x"}, {}))
    failure = run_steps(harness.editor.read_version()).failure()
    assert "can't be decoded" in failure.message


def test_an_empty_store_has_no_catalogue():
    harness = EditorHarness()
    failure = run_steps(harness.editor.read_version()).failure()
    assert failure == EditRefused("the store holds no catalogue")
    assert run_steps(harness.editor.history()).unwrap() == ()
    conflict = harness.apply("a", 3).failure()
    assert (conflict.base_version, conflict.winner) == (3, None)
