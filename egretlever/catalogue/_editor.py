"""Edits of the catalogue in the platform's stores."""

import dataclasses
from typing import Any

from returns.result import Failure, Result, Success

from egretlever.catalogue._codec import (
    decode_head,
    decode_snapshot,
    make_snapshot,
)
from egretlever.catalogue._edits import (
    HEAD_KEY,
    Applied,
    Edit,
    EditConflict,
    EditDone,
    EditFailure,
    EditFindings,
    EditPlan,
    EditRefused,
    EditRequest,
    EffectUnknown,
    StoreUnavailable,
    Unchanged,
    confirm_edit,
    decode_edit,
    extract_content,
    find_overlap,
    list_changes,
    make_edit_key,
    plan_edit,
    rebase_edit,
)
from egretlever.catalogue._snapshot import Head, Snapshot
from egretlever.catalogue._text import check_catalogue
from egretlever.core import Digest, EditId, Version, make_log
from egretlever.platform import (
    ObjectStore,
    Row,
    StoreError,
    StoreErrorKind,
    TableStore,
)
from egretlever.schema import catalogue_pb2

_LOG = make_log("editor")
# Attempts of one write. Each retry after a lost response costs two store
# operations, and three lost responses in a row indicate an outage rather than
# chance.
_MAX_ATTEMPTS = 3
# No row ever reaches this version, so a condition on it always fails.
_IMPOSSIBLE_ROW_VERSION = Version(1 << 62)
# Edits read to find a version: two days at the design size of 2,200 a day.
_MAX_EDITS_SEARCHED = 4400


class CatalogueEditor:
    """Applies edits with optimistic concurrency and reads their history.

    Created by ``make_catalogue_editor``.

    Parameters
    ----------
    tables : TableStore
        Holds the head and one row per edit.
    objects : ObjectStore
        Holds each snapshot under its digest.
    """

    def __init__(self, tables: TableStore, objects: ObjectStore) -> None:
        self._tables = tables
        self._objects = objects

    async def read_head(self) -> Result[Head | None, EditFailure]:
        """Read the head of the version in force, None for an empty store."""
        row = await self._read_row(HEAD_KEY)
        if isinstance(row, Failure):
            return row
        return _decode_head_row(row.unwrap())

    async def read_snapshot(
        self, digest: Digest
    ) -> Result[Snapshot, EditFailure]:
        """Read a snapshot by its digest."""
        body = await self._objects.get(digest)
        if isinstance(body, Failure):
            return Failure(_convert_read_error(body.failure()))
        snapshot = decode_snapshot(body.unwrap(), digest)
        if isinstance(snapshot, Failure):
            return Failure(EditRefused(snapshot.failure()))
        return Success(snapshot.unwrap())

    async def read_version(
        self, version: Version | None = None
    ) -> Result[Snapshot, EditFailure]:
        """Read the snapshot of a version, by default of the one in force."""
        head = await self.read_head()
        if isinstance(head, Failure):
            return head
        current = head.unwrap()
        if current is None:
            return Failure(EditRefused("the store holds no catalogue"))
        if version is None or version == current.version:
            return await self.read_snapshot(current.digest)
        edit = await self._find_edit(current, version)
        if isinstance(edit, Failure):
            return edit
        return await self.read_snapshot(edit.unwrap().head.digest)

    async def history(
        self, limit: int = 20
    ) -> Result[tuple[Edit, ...], EditFailure]:
        """Read the latest edits, newest first.

        Edit ids are random, so a scan of the rows would not return the latest
        edits. Instead each row names the previous edit, and the rows are read
        one by one along this chain.
        """
        head = await self.read_head()
        if isinstance(head, Failure):
            return head
        current = head.unwrap()
        edits: list[Edit] = []
        edit_id = current.edit_id if current else EditId("")
        while edit_id and len(edits) < limit:
            edit = await self.read_edit(edit_id)
            if isinstance(edit, Failure):
                return edit
            found = edit.unwrap()
            if found is None:
                return Failure(EditRefused(f"edit {edit_id} has no row"))
            edits.append(found)
            edit_id = found.base_edit_id
        return Success(tuple(edits))

    async def read_edit(
        self, edit_id: EditId
    ) -> Result[Edit | None, EditFailure]:
        """Read an edit by its id, None when no such edit was applied."""
        row = await self._read_row(make_edit_key(edit_id))
        if isinstance(row, Failure):
            return row
        if not row.unwrap().version:
            return Success(None)
        edit = decode_edit(row.unwrap().value)
        if isinstance(edit, Failure):
            return Failure(EditRefused(edit.failure()))
        return Success(edit.unwrap())

    async def apply(
        self, request: EditRequest
    ) -> Result[EditDone, EditFailure]:
        """Check and apply an edit.

        Parameters
        ----------
        request : EditRequest
            The edit. After ``EffectUnknown`` the same request may be sent
            again; it is applied at most once.

        Returns
        -------
        Result of Applied or Unchanged, or of an edit failure
            The result. Only ``EffectUnknown`` does not tell whether the edit
            was applied.
        """
        findings = check_catalogue(request.content, f"edit {request.edit_id}")
        if findings:
            return Failure(EditFindings(findings))
        row = await self._read_row(HEAD_KEY)
        if isinstance(row, Failure):
            return row
        decoded = _decode_head_row(row.unwrap())
        if isinstance(decoded, Failure):
            return decoded
        head = decoded.unwrap()
        plan = plan_edit(request, head, row.unwrap().version)
        recorded = await self.read_edit(request.edit_id)
        if isinstance(recorded, Failure):
            return recorded
        edit = recorded.unwrap()
        if edit is not None:
            return confirm_edit(plan, edit)
        if (head.version if head else 0) != request.base_version:
            return await self._verify_base_conflict(plan, request)
        base = await self._read_current(head)
        if head and base and not list_changes(base, plan.snapshot):
            return Success(Unchanged(head))
        plan = dataclasses.replace(plan, base=base)
        return await self._write(plan, request)

    async def rollback(
        self, version: Version, request: EditRequest
    ) -> Result[EditDone, EditFailure]:
        """Apply the content of an earlier version as a new edit.

        Parameters
        ----------
        version : Version
            Version whose content is restored, under a new version number
            higher than the one in force.
        request : EditRequest
            Id, operator, base and summary of the edit; its content is ignored.

        Returns
        -------
        Result of Applied or Unchanged, or of an edit failure
            As for ``apply``.
        """
        snapshot = await self.read_version(version)
        if isinstance(snapshot, Failure):
            return snapshot
        content = extract_content(snapshot.unwrap())
        return await self.apply(dataclasses.replace(request, content=content))

    async def _write(
        self, plan: EditPlan, request: EditRequest
    ) -> Result[EditDone, EditFailure]:
        stored = await self._put_snapshot(plan.snapshot)
        if isinstance(stored, Failure):
            return stored
        may_be_committed = False
        message = ""
        for _ in range(_MAX_ATTEMPTS):
            written = await self._tables.write(plan.rows, plan.conditions)
            if isinstance(written, Success):
                head = plan.snapshot.head
                return Success(Applied(head, plan.snapshot, plan.base))
            error = written.failure()
            message = error.message
            if error.kind is StoreErrorKind.CONDITION_FAILED:
                return await self._resolve_failed_condition(
                    plan, request, error
                )
            may_be_committed = (
                may_be_committed or error.kind is StoreErrorKind.UNKNOWN_EFFECT
            )
            if not may_be_committed:
                return Failure(StoreUnavailable(message))
            recorded = await self.read_edit(request.edit_id)
            edit = recorded.unwrap() if isinstance(recorded, Success) else None
            if edit is not None:
                return confirm_edit(plan, edit)
            # The row may be missing because the write is still in transit. The
            # conditions on row versions let at most one of the writes commit.
            _LOG.info("retrying write of edit %s: %s", request.edit_id, message)
        return Failure(EffectUnknown(request.edit_id, message))

    async def _verify_base_conflict(
        self, plan: EditPlan, request: EditRequest
    ) -> Result[EditDone, EditFailure]:
        # The read of the head may be stale, and so may the read that found no
        # row of an earlier attempt at this edit. A transaction sees the
        # current rows, and a failed condition returns them.
        written = await self._tables.write(
            plan.rows, {**plan.conditions, HEAD_KEY: _IMPOSSIBLE_ROW_VERSION}
        )
        if isinstance(written, Success):
            return Failure(
                EditRefused(
                    "the store committed a write whose condition failed"
                )
            )
        error = written.failure()
        if error.kind is not StoreErrorKind.CONDITION_FAILED:
            return Failure(StoreUnavailable(error.message))
        rows = {row.key: row for row in error.conflicts}
        if HEAD_KEY in rows and plan.edit_key not in rows:
            head = _decode_head_row(rows[HEAD_KEY])
            if isinstance(head, Success):
                current = head.unwrap()
                if (current.version if current else 0) == request.base_version:
                    row_version = rows[HEAD_KEY].version
                    plan = plan_edit(request, current, row_version)
                    return await self._write(plan, request)
        return await self._resolve_failed_condition(plan, request, error)

    async def _put_snapshot(
        self, snapshot: Snapshot
    ) -> Result[None, EditFailure]:
        message = ""
        for _ in range(_MAX_ATTEMPTS):
            # The object is named by the digest of its content, so writing it
            # again changes nothing.
            stored = await self._objects.put(
                snapshot.head.digest, snapshot.to_bytes()
            )
            if isinstance(stored, Success):
                return Success(None)
            message = stored.failure().message
            if stored.failure().kind is not StoreErrorKind.UNKNOWN_EFFECT:
                break
        return Failure(
            StoreUnavailable(f"could not store the snapshot: {message}")
        )

    async def _resolve_failed_condition(
        self, plan: EditPlan, request: EditRequest, error: StoreError
    ) -> Result[EditDone, EditFailure]:
        # The rows in the error were read by the transaction itself. A separate
        # read might be stale and miss the row of this edit.
        rows = {row.key: row for row in error.conflicts}
        if plan.edit_key in rows:
            recorded = decode_edit(rows[plan.edit_key].value)
            if isinstance(recorded, Failure):
                return Failure(EditRefused(recorded.failure()))
            return confirm_edit(plan, recorded.unwrap())
        if HEAD_KEY not in rows:
            return Failure(EditRefused(error.message))
        head = _decode_head_row(rows[HEAD_KEY])
        if isinstance(head, Failure):
            return head
        return await self._describe_conflict(plan, request, head.unwrap())

    async def _describe_conflict(
        self, plan: EditPlan, request: EditRequest, winner: Head | None
    ) -> Result[Any, EditFailure]:
        conflict = EditConflict(request.edit_id, request.base_version, winner)
        if winner is None or winner.version < request.base_version:
            return Failure(conflict)
        theirs = await self.read_snapshot(winner.digest)
        base = await self._read_base(winner, request.base_version)
        if isinstance(theirs, Failure) or isinstance(base, Failure):
            # The conflict is certain; only the rebase can't be computed.
            return Failure(conflict)
        parts = (base.unwrap(), plan.snapshot, theirs.unwrap())
        overlap = find_overlap(*parts)
        rebased = None if overlap else rebase_edit(*parts)
        if rebased is not None and check_catalogue(rebased, "rebase"):
            rebased = None
        return Failure(
            dataclasses.replace(conflict, overlap=overlap, rebase=rebased)
        )

    async def _read_base(
        self, winner: Head, version: Version
    ) -> Result[Snapshot, EditFailure]:
        if version == 0:
            return Success(make_snapshot(catalogue_pb2.Catalogue()))
        edit = await self._find_edit(winner, version)
        if isinstance(edit, Failure):
            return edit
        return await self.read_snapshot(edit.unwrap().head.digest)

    async def _find_edit(
        self, head: Head, version: Version
    ) -> Result[Edit, EditFailure]:
        edit_id = head.edit_id
        for _ in range(_MAX_EDITS_SEARCHED):
            edit = await self.read_edit(edit_id)
            if isinstance(edit, Failure):
                return edit
            found = edit.unwrap()
            if found is None or found.head.version < version:
                break
            if found.head.version == version:
                return Success(found)
            edit_id = found.base_edit_id
            if not edit_id:
                break
        return Failure(EditRefused(f"version {version} is not in the history"))

    async def _read_current(self, head: Head | None) -> Snapshot | None:
        if head is None:
            return None
        return (await self.read_snapshot(head.digest)).value_or(None)

    async def _read_row(self, key: str) -> Result[Row, EditFailure]:
        row = await self._tables.read(key)
        if isinstance(row, Failure):
            return Failure(_convert_read_error(row.failure()))
        return Success(row.unwrap())


def make_catalogue_editor(
    table_store: TableStore, object_store: ObjectStore
) -> CatalogueEditor:
    """Make an editor of the catalogue in the given stores.

    Parameters
    ----------
    table_store : TableStore
        Transactional table service.
    object_store : ObjectStore
        Object store of snapshots.

    Returns
    -------
    CatalogueEditor
        An editor without state between calls.
    """
    return CatalogueEditor(table_store, object_store)


def _decode_head_row(row: Row) -> Result[Head | None, EditFailure]:
    if not row.version:
        return Success(None)
    head = decode_head(row.value)
    if isinstance(head, Failure):
        return Failure(EditRefused(head.failure()))
    return Success(head.unwrap())


def _convert_read_error(error: StoreError) -> EditFailure:
    if error.kind is StoreErrorKind.CONDITION_FAILED:
        return EditRefused(error.message)
    return StoreUnavailable(error.message)
