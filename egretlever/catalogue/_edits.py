"""Decisions about edits of the catalogue, apart from the store calls."""

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
    compare_snapshots,
)
from egretlever.catalogue._text import render_value
from egretlever.core import Digest, EditId, Finding, Version
from egretlever.schema import catalogue_pb2

HEAD_KEY = "catalogue/head"
EDIT_PREFIX = "catalogue/edit/"


@dataclasses.dataclass(frozen=True, slots=True)
class EditRequest:
    """An edit that an operator asks for.

    Parameters
    ----------
    edit_id : EditId
        Unique id. The same request sent again under the same id is applied
        once.
    operator : str
        Who asks.
    base_version : Version
        Version that the content was made from, 0 for an empty store.
    content : Catalogue
        The whole catalogue as it shall be.
    at_unix_s : float
        Time of the edit in seconds since 1970, for the history only.
    summary : str, optional
        What the edit is for.
    """

    edit_id: EditId
    operator: str
    base_version: Version
    content: catalogue_pb2.Catalogue
    at_unix_s: float
    summary: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Edit:
    """An edit as its row of the table service records it.

    Parameters
    ----------
    head : Head
        Version that the edit made.
    operator : str
        Who asked for it.
    base_version : Version
        Version before.
    base_edit_id : EditId
        Edit that made the version before; empty for the first edit.
    at_unix_s : float
        Time of the edit in seconds since 1970.
    summary : str
        What the edit was for.
    """

    head: Head
    operator: str
    base_version: Version
    base_edit_id: EditId
    at_unix_s: float
    summary: str


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """The edit is accepted: ``head`` is the version that it made.

    ``snapshot`` is its content and ``base`` the one before, if it was read.
    """

    head: Head
    snapshot: Snapshot | None = dataclasses.field(default=None, compare=False)
    base: Snapshot | None = dataclasses.field(default=None, compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Unchanged:
    """The content is that of ``head`` already, and nothing was written."""

    head: Head


@dataclasses.dataclass(frozen=True, slots=True)
class EditConflict:
    """Another edit came first.

    Parameters
    ----------
    edit_id : EditId
        Edit that was refused.
    base_version : Version
        Version that it was made from.
    winner : Head or None
        Version in force and the edit that made it; None for an empty store.
    overlap : tuple of str
        Entries that both changed, such as ``route browse``.
    rebase : Catalogue or None
        Content of the refused edit carried over to the winner's version, when
        no entry overlaps and the result checks clean. Nothing applies it
        unless the operator asks.
    """

    edit_id: EditId
    base_version: Version
    winner: Head | None
    overlap: tuple[str, ...] = ()
    rebase: catalogue_pb2.Catalogue | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EditFindings:
    """The content does not check clean."""

    findings: tuple[Finding, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EditRefused:
    """The edit can't be done, for the reason in ``message``."""

    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreAway:
    """The store did not answer, and this call changed nothing."""

    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class EffectUnknown:
    """The edit may have taken effect; applying it again by its id tells."""

    edit_id: EditId
    message: str


EditDone = Applied | Unchanged
EditFailure = (
    EditConflict | EditFindings | EditRefused | StoreAway | EffectUnknown
)


@dataclasses.dataclass(frozen=True, slots=True)
class EditPlan:
    """What is written for an edit.

    Parameters
    ----------
    snapshot : Snapshot
        Version that results. Its bytes are put first, under the digest.
    rows : dict of str to bytes
        Rows of the transaction.
    conditions : dict of str to Version
        Versions of rows that the transaction depends on.
    base : Snapshot or None
        Version before, when it was read.
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
class Change:
    """One entry that differs between two versions.

    Parameters
    ----------
    kind : ChangeKind
        How it differs.
    entry : str
        Such as ``route browse``.
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
    """Plan what is written for an edit of the version in force.

    Parameters
    ----------
    request : EditRequest
        Checked edit, made from ``head``.
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
    """Decide whether a recorded edit is the planned one."""
    if recorded.head == plan.snapshot.head:
        return Success(Applied(recorded.head, plan.snapshot))
    return Failure(
        EditRefused(
            f"edit id {recorded.head.edit_id} was used by {recorded.operator}"
            f" for another edit, which made version {recorded.head.version}"
        )
    )


def list_changes(base: Snapshot, target: Snapshot) -> tuple[Change, ...]:
    """List the entries that differ, in the order of kinds and names."""
    delta = compare_snapshots(base, target)
    old, new = decode_catalogue(base), decode_catalogue(target)
    changes = []
    for kind, key in (("rank", "name"), ("service", "name"), ("route", "id")):
        olds = {getattr(one, key): one for one in getattr(old, f"{kind}s")}
        news = {getattr(one, key): one for one in getattr(new, f"{kind}s")}
        changed: dict[str, Entry[Any]] = getattr(delta, f"{kind}s")
        removed = getattr(delta, f"removed_{kind}s")
        for name in sorted({*changed, *removed}):
            entry = f"{kind} {name}"
            if name in removed:
                changes.append(Change(ChangeKind.REMOVED, entry))
            elif name not in olds:
                changes.append(Change(ChangeKind.ADDED, entry))
            else:
                details = _list_details(olds[name], news[name])
                changes.append(Change(ChangeKind.CHANGED, entry, details))
    return tuple(changes)


def find_overlap(
    base: Snapshot, mine: Snapshot, theirs: Snapshot
) -> tuple[str, ...]:
    """Find the entries that two edits of one base both changed."""
    ours = _list_touched(compare_snapshots(base, mine))
    return tuple(sorted(ours & _list_touched(compare_snapshots(base, theirs))))


def rebase_edit(
    base: Snapshot, mine: Snapshot, theirs: Snapshot
) -> catalogue_pb2.Catalogue:
    """Carry the changes of one edit over to another version.

    Parameters
    ----------
    base, mine : Snapshot
        Version that the edit was made from, and what it makes of it.
    theirs : Snapshot
        Version that gets the changes.

    Returns
    -------
    Catalogue
        Unchecked content without version and edit id.
    """
    merged = apply_delta(theirs, compare_snapshots(base, mine))
    return extract_content(merged)


def extract_content(snapshot: Snapshot) -> catalogue_pb2.Catalogue:
    """Return the entries of a snapshot without its version and edit id."""
    content = decode_catalogue(snapshot)
    content.ClearField("version")
    content.ClearField("edit_id")
    return content


def _list_touched(delta: Delta) -> set[str]:
    touched: set[str] = set()
    for kind in ("rank", "service", "route"):
        names = [
            *getattr(delta, f"{kind}s"),
            *getattr(delta, f"removed_{kind}s"),
        ]
        touched.update(f"{kind} {name}" for name in names)
    return touched


def _list_details(
    old: message.Message, new: message.Message
) -> tuple[str, ...]:
    return tuple(
        f"{field.name}: {render_value(field, getattr(old, field.name))}"
        f" -> {render_value(field, getattr(new, field.name))}"
        for field in old.DESCRIPTOR.fields
        if getattr(old, field.name) != getattr(new, field.name)
    )
