"""Decisions about edits of the catalogue, without store calls."""

import dataclasses
import enum
from typing import Any

from google.protobuf import message
from returns.result import Failure, Result, Success

from egretlever.catalogue._canonical import encode_canonical
from egretlever.catalogue._codec import (
    decode_catalogue,
    encode_head,
    make_snapshot,
)
from egretlever.catalogue._snapshot import (
    Delta,
    Entry,
    Head,
    Snapshot,
    apply_delta,
    compute_delta,
)
from egretlever.catalogue._text import render_value
from egretlever.core import Digest, EditId, Finding, Version
from egretlever.schema import catalogue_pb2

HEAD_KEY = "catalogue/head"
EDIT_PREFIX = "catalogue/edit/"


@dataclasses.dataclass(frozen=True, slots=True)
class EditRequest:
    """An edit requested by an operator.

    Parameters
    ----------
    edit_id : EditId
        Unique id, which makes the request idempotent: sent again under the
        same id, it is applied once.
    operator : str
        Who requests the edit.
    base_version : Version
        Version that the content is based on, 0 for an empty store.
    content : Catalogue
        The whole catalogue after the edit.
    at_unix_s : float
        Time of the edit in seconds since 1970, for the history only.
    summary : str, optional
        Purpose of the edit.
    """

    edit_id: EditId
    operator: str
    base_version: Version
    content: catalogue_pb2.Catalogue
    at_unix_s: float
    summary: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Edit:
    """An applied edit, as recorded in its row of the table service.

    Parameters
    ----------
    head : Head
        Version that the edit made.
    operator : str
        Who requested the edit.
    base_version : Version
        Version before the edit.
    base_edit_id : EditId
        Edit that made the version before; empty for the first edit.
    at_unix_s : float
        Time of the edit in seconds since 1970.
    summary : str
        Purpose of the edit.
    """

    head: Head
    operator: str
    base_version: Version
    base_edit_id: EditId
    at_unix_s: float
    summary: str


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """The edit was applied: ``head`` is the version that it made.

    ``snapshot`` is that version and ``base`` the one before, if it was read.
    """

    head: Head
    snapshot: Snapshot | None = dataclasses.field(default=None, compare=False)
    base: Snapshot | None = dataclasses.field(default=None, compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Unchanged:
    """The content equals that of ``head``, so nothing was written."""

    head: Head


@dataclasses.dataclass(frozen=True, slots=True)
class EditConflict:
    """The edit's base is not the version in force.

    Usually another edit was applied first.

    Parameters
    ----------
    edit_id : EditId
        The refused edit.
    base_version : Version
        Version that the refused edit is based on.
    winner : Head or None
        Version in force and the edit that made it; None for an empty store.
    overlap : tuple of str
        Entries that both edits changed, such as ``route browse``.
    rebase : Catalogue or None
        Content of the refused edit rebased onto the winner's version, when no
        entry overlaps and the result is valid. It is applied only when the
        operator asks for it.
    """

    edit_id: EditId
    base_version: Version
    winner: Head | None
    overlap: tuple[str, ...] = ()
    rebase: catalogue_pb2.Catalogue | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EditFindings:
    """The content is invalid, for the reasons in ``findings``."""

    findings: tuple[Finding, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EditRefused:
    """The edit can't be applied, for the reason in ``message``."""

    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The store is unavailable, and this call changed nothing."""

    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class EffectUnknown:
    """The edit may have been applied.

    The same request, sent again under its edit id, tells whether it was.
    """

    edit_id: EditId
    message: str


EditDone = Applied | Unchanged
EditFailure = (
    EditConflict | EditFindings | EditRefused | StoreUnavailable | EffectUnknown
)


@dataclasses.dataclass(frozen=True, slots=True)
class EditPlan:
    """Store writes that apply an edit.

    Parameters
    ----------
    snapshot : Snapshot
        Resulting version. It is stored first, as an object named by its digest.
    rows : dict of str to bytes
        Rows that the transaction writes.
    conditions : dict of str to Version
        Row versions that the transaction requires.
    base : Snapshot or None
        Version before the edit, if it was read.
    """

    snapshot: Snapshot
    rows: dict[str, bytes]
    conditions: dict[str, Version]
    base: Snapshot | None = None

    @property
    def edit_key(self) -> str:
        """Key of the edit's row."""
        return make_edit_key(self.snapshot.head.edit_id)


class ChangeKind(enum.Enum):
    """How an entry differs between two versions."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclasses.dataclass(frozen=True, slots=True)
class EntryChange:
    """One entry that differs between two versions.

    Parameters
    ----------
    kind : ChangeKind
        Kind of the difference.
    entry : str
        Kind and name of the entry, such as ``route browse``.
    details : tuple of str
        Changed values, such as ``floor_share: 0.6 -> 0.7``.
    """

    kind: ChangeKind
    entry: str
    details: tuple[str, ...] = ()


def make_edit_key(edit_id: EditId) -> str:
    """Return the key of an edit's row.

    Examples
    --------
    >>> make_edit_key(EditId("a1"))
    'catalogue/edit/a1'
    """
    return EDIT_PREFIX + edit_id


def plan_edit(
    request: EditRequest, head: Head | None, head_row_version: Version
) -> EditPlan:
    """Plan the writes for an edit of the version in force.

    Parameters
    ----------
    request : EditRequest
        Checked edit, based on ``head``.
    head : Head or None
        Version in force, None for an empty store.
    head_row_version : Version
        Version of the head's row in the table service.

    Returns
    -------
    EditPlan
        The snapshot and the transaction.
    """
    content = catalogue_pb2.Catalogue()
    content.CopyFrom(request.content)
    content.version = request.base_version + 1
    content.edit_id = request.edit_id
    snapshot = make_snapshot(content)
    row = catalogue_pb2.CatalogueEdit(
        edit_id=request.edit_id,
        operator=request.operator,
        base_version=request.base_version,
        version=content.version,
        digest=snapshot.head.digest,
        at_unix_s=request.at_unix_s,
        summary=request.summary,
        base_edit_id=head.edit_id if head else "",
    )
    edit_key = make_edit_key(request.edit_id)
    return EditPlan(
        snapshot,
        {HEAD_KEY: encode_head(snapshot.head), edit_key: encode_canonical(row)},
        {HEAD_KEY: head_row_version, edit_key: Version(0)},
    )


def decode_edit(body: bytes) -> Result[Edit, str]:
    """Decode an edit from its row of the table service."""
    try:
        row = catalogue_pb2.CatalogueEdit.FromString(body)
    except message.DecodeError:
        return Failure("row of an edit can't be decoded")
    return Success(
        Edit(
            Head(Version(row.version), EditId(row.edit_id), Digest(row.digest)),
            row.operator,
            Version(row.base_version),
            EditId(row.base_edit_id),
            row.at_unix_s,
            row.summary,
        )
    )


def confirm_edit(plan: EditPlan, recorded: Edit) -> Result[EditDone, Any]:
    """Return success if the recorded edit is the planned one."""
    if recorded.head == plan.snapshot.head:
        return Success(Applied(recorded.head, plan.snapshot))
    return Failure(
        EditRefused(
            f"edit id {recorded.head.edit_id} was used by {recorded.operator}"
            f" for another edit, which made version {recorded.head.version}"
        )
    )


def list_changes(base: Snapshot, target: Snapshot) -> tuple[EntryChange, ...]:
    """List the entries that differ, ordered by kind and name."""
    delta = compute_delta(base, target)
    old, new = decode_catalogue(base), decode_catalogue(target)
    changes = []
    for kind, key in (("rank", "name"), ("service", "name"), ("route", "id")):
        old_entries = {
            getattr(item, key): item for item in getattr(old, f"{kind}s")
        }
        new_entries = {
            getattr(item, key): item for item in getattr(new, f"{kind}s")
        }
        changed: dict[str, Entry[Any]] = getattr(delta, f"{kind}s")
        removed = getattr(delta, f"removed_{kind}s")
        for name in sorted({*changed, *removed}):
            entry = f"{kind} {name}"
            if name in removed:
                changes.append(EntryChange(ChangeKind.REMOVED, entry))
            elif name not in old_entries:
                changes.append(EntryChange(ChangeKind.ADDED, entry))
            else:
                details = _list_changed_values(
                    old_entries[name], new_entries[name]
                )
                changes.append(EntryChange(ChangeKind.CHANGED, entry, details))
    return tuple(changes)


def find_overlap(
    base: Snapshot, mine: Snapshot, theirs: Snapshot
) -> tuple[str, ...]:
    """Find the entries changed by both of two edits of the same base."""
    our_changes = _list_changed_entries(compute_delta(base, mine))
    return tuple(
        sorted(our_changes & _list_changed_entries(compute_delta(base, theirs)))
    )


def rebase_edit(
    base: Snapshot, mine: Snapshot, theirs: Snapshot
) -> catalogue_pb2.Catalogue:
    """Apply the changes of an edit to another version.

    Parameters
    ----------
    base, mine : Snapshot
        Version that the edit is based on, and the edit's result.
    theirs : Snapshot
        Version to apply the changes to.

    Returns
    -------
    Catalogue
        Unchecked content without version and edit id.
    """
    merged = apply_delta(theirs, compute_delta(base, mine))
    return extract_content(merged)


def extract_content(snapshot: Snapshot) -> catalogue_pb2.Catalogue:
    """Return the entries of a snapshot without its version and edit id."""
    content = decode_catalogue(snapshot)
    content.ClearField("version")
    content.ClearField("edit_id")
    return content


def _list_changed_entries(delta: Delta) -> set[str]:
    changed_names: set[str] = set()
    for kind in ("rank", "service", "route"):
        names = [
            *getattr(delta, f"{kind}s"),
            *getattr(delta, f"removed_{kind}s"),
        ]
        changed_names.update(f"{kind} {name}" for name in names)
    return changed_names


def _list_changed_values(
    old: message.Message, new: message.Message
) -> tuple[str, ...]:
    return tuple(
        f"{field.name}: {render_value(field, getattr(old, field.name))}"
        f" -> {render_value(field, getattr(new, field.name))}"
        for field in old.DESCRIPTOR.fields
        if getattr(old, field.name) != getattr(new, field.name)
    )
