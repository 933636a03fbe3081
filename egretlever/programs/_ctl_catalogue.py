"""Commands of ctl for the catalogue."""

import datetime
import pathlib
import time
import uuid
from typing import Annotated, NoReturn, TypeVar

import typer
from returns.result import Failure, Result

from egretlever.catalogue import (
    Applied,
    CatalogueEditor,
    EditConflict,
    EditDone,
    EditFailure,
    EditFindings,
    EditRequest,
    EffectUnknown,
    Head,
    Snapshot,
    StoreUnavailable,
    decode_catalogue,
    list_changes,
    make_catalogue_editor,
    make_snapshot,
    parse_catalogue,
    render_catalogue,
)
from egretlever.core import EditId, Finding, Version
from egretlever.programs import _ctl_common, _ctl_notify
from egretlever.programs._ctl_common import (
    CtlContext,
    ExitCode,
    exit_with,
    render_table,
    run_on_loop,
)
from egretlever.programs._runtime import exit_with_findings
from egretlever.schema import catalogue_pb2

_Value = TypeVar("_Value")

app = typer.Typer(no_args_is_help=True, help="Show and edit the catalogue.")

_File = Annotated[pathlib.Path, typer.Argument(help="INI file to read.")]
_Summary = Annotated[str, typer.Option(help="What the edit is for.")]
_EditIdOption = Annotated[
    str | None,
    typer.Option(
        "--edit-id", help="Id of an earlier try whose effect is unknown."
    ),
]


@app.command()
def show(
    context: typer.Context,
    version: Annotated[
        int | None, typer.Argument(help="Version; the one in force if absent.")
    ] = None,
) -> None:
    """Print a version of the catalogue as INI text."""
    editor = _make_editor(context.obj)
    requested_version = None if version is None else Version(version)
    snapshot = _unwrap(run_on_loop(editor.read_version, requested_version))
    head = snapshot.head
    typer.echo(f"# version {head.version}, edit {head.edit_id}")
    typer.echo(render_catalogue(decode_catalogue(snapshot)), nl=False)


@app.command()
def check(file: _File) -> None:
    """Check a file and print every finding."""
    content = _read_file(file)
    typer.echo(
        f"{file}: {len(content.ranks)} ranks, {len(content.services)} services"
        f" and {len(content.routes)} routes, no findings"
    )


@app.command()
def diff(
    context: typer.Context,
    file: _File,
    base: Annotated[
        int | None,
        typer.Option(help="Version to compare with; the one in force."),
    ] = None,
) -> None:
    """Print what a file would change."""
    content = _read_file(file)
    editor = _make_editor(context.obj)
    requested_version = None if base is None else Version(base)
    snapshot = _unwrap(run_on_loop(editor.read_version, requested_version))
    typer.echo(f"against version {snapshot.head.version}:")
    typer.echo(_render_changes(snapshot, make_snapshot(content)))


@app.command()
def apply(
    context: typer.Context,
    file: _File,
    base: Annotated[
        int,
        typer.Option(min=0, help="Version that the file was made from."),
    ],
    summary: _Summary = "",
    edit_id: _EditIdOption = None,
    rebase: Annotated[
        bool,
        typer.Option(
            help="After a conflict, carry the changes over to the version in"
            " force if no entry was changed by both edits."
        ),
    ] = False,
) -> None:
    """Apply a file as the new catalogue."""
    content = _read_file(file)
    editor = _make_editor(context.obj)
    request = _make_request(context.obj, base, content, summary, edit_id)
    result = run_on_loop(editor.apply, request)
    if isinstance(result, Failure) and rebase:
        conflict = result.failure()
        if isinstance(conflict, EditConflict) and conflict.rebase is not None:
            assert conflict.winner is not None
            typer.echo(
                f"edit {conflict.edit_id} is carried over to version"
                f" {conflict.winner.version}"
            )
            request = _make_request(
                context.obj,
                conflict.winner.version,
                conflict.rebase,
                summary,
                None,
            )
            result = run_on_loop(editor.apply, request)
    _report_edit(context.obj, result)


@app.command()
def history(
    context: typer.Context,
    limit: Annotated[int, typer.Option(min=1, help="Edits to print.")] = 20,
) -> None:
    """Print the latest edits, newest first."""
    editor = _make_editor(context.obj)
    edits = _unwrap(run_on_loop(editor.history, limit))
    rows = [
        (
            edit.head.version,
            _format_time(edit.at_unix_s),
            edit.operator,
            edit.head.edit_id,
            edit.head.digest[:12],
            edit.summary,
        )
        for edit in edits
    ]
    header = ("version", "time (UTC)", "operator", "edit", "digest", "summary")
    typer.echo(render_table(header, rows))


@app.command()
def rollback(
    context: typer.Context,
    version: Annotated[int, typer.Argument(min=1, help="Version to restore.")],
    base: Annotated[
        int | None,
        typer.Option(help="Version to replace; the one in force."),
    ] = None,
    summary: _Summary = "",
    edit_id: _EditIdOption = None,
) -> None:
    """Apply the content of an earlier version as a new edit."""
    editor = _make_editor(context.obj)
    if base is None:
        head: Head | None = _unwrap(run_on_loop(editor.read_head))
        base = head.version if head else 0
    request = _make_request(
        context.obj,
        base,
        catalogue_pb2.Catalogue(),
        summary or f"rollback to version {version}",
        edit_id,
    )
    result = run_on_loop(editor.rollback, Version(version), request)
    _report_edit(context.obj, result)


def _make_editor(context: CtlContext) -> CatalogueEditor:
    stores = _ctl_common.make_stores(context.load().platform)
    return make_catalogue_editor(stores.tables, stores.objects)


def _make_request(
    context: CtlContext,
    base: int,
    content: catalogue_pb2.Catalogue,
    summary: str,
    edit_id: str | None,
) -> EditRequest:
    return EditRequest(
        EditId(edit_id or uuid.uuid4().hex),
        context.load().ctl.operator,
        Version(base),
        content,
        time.time(),
        summary,
    )


def _read_file(file: pathlib.Path) -> catalogue_pb2.Catalogue:
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        exit_with_findings([Finding(str(file), f"can't be read: {error}")])
    result = parse_catalogue(text, str(file))
    if isinstance(result, Failure):
        exit_with_findings(result.failure())
    return result.unwrap()


def _unwrap(result: Result[_Value, EditFailure]) -> _Value:
    if isinstance(result, Failure):
        _exit_with_failure(result.failure())
    return result.unwrap()


def _report_edit(
    context: CtlContext, result: Result[EditDone, EditFailure]
) -> None:
    if isinstance(result, Failure):
        _exit_with_failure(result.failure())
    done = result.unwrap()
    if isinstance(done, Applied):
        typer.echo(
            f"version {done.head.version} is in the store, edit"
            f" {done.head.edit_id}"
        )
        _ctl_notify.notify_nodes(context, done)
    else:
        typer.echo(f"nothing differs from version {done.head.version}")


def _exit_with_failure(failure: EditFailure) -> NoReturn:
    if isinstance(failure, EditConflict):
        exit_with(ExitCode.REFUSED, _render_conflict(failure))
    if isinstance(failure, EditFindings):
        exit_with_findings(failure.findings)
    if isinstance(failure, StoreUnavailable):
        exit_with(
            ExitCode.STORE_UNAVAILABLE,
            f"the store is unavailable: {failure.message};"
            " this command changed nothing",
        )
    if isinstance(failure, EffectUnknown):
        exit_with(
            ExitCode.EFFECT_UNKNOWN,
            f"edit {failure.edit_id} may have taken effect: {failure.message};"
            f" repeat the command with --edit-id {failure.edit_id} and the same"
            " file and base to find out; the edit is applied at most once",
        )
    exit_with(ExitCode.REFUSED, f"refused: {failure.message}")


def _render_conflict(conflict: EditConflict) -> str:
    winner = conflict.winner
    if winner is None:
        return (
            f"conflict: edit {conflict.edit_id} was made from version"
            f" {conflict.base_version}, but the store holds no catalogue"
        )
    lines = [
        f"conflict: edit {conflict.edit_id} was made from version"
        f" {conflict.base_version}, but edit {winner.edit_id} made version"
        f" {winner.version}"
    ]
    if conflict.overlap:
        lines.append(f"both edits change: {', '.join(conflict.overlap)}")
    if conflict.rebase is not None:
        lines.append(
            "no entry is changed by both; --rebase carries this edit over to"
            f" version {winner.version}"
        )
    return "\n".join(lines)


def _render_changes(base: Snapshot, target: Snapshot) -> str:
    changes = list_changes(base, target)
    if not changes:
        return "nothing differs"
    rows = [
        (change.kind.value, change.entry, "; ".join(change.details))
        for change in changes
    ]
    return render_table(("change", "entry", "values"), rows)


def _format_time(at_unix_s: float) -> str:
    timestamp = datetime.datetime.fromtimestamp(at_unix_s, datetime.UTC)
    return timestamp.strftime("%Y-%m-%d %H:%M:%S")
