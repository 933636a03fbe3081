"""Exit codes, settings and output shared by the commands of ctl."""

import dataclasses
import enum
import pathlib
from collections.abc import Callable, Coroutine, Iterable, Sequence
from typing import Any, NoReturn, TypeVar

import curio
import typer

from egretlever.core import Seconds
from egretlever.platform import ObjectStore, TableStore
from egretlever.programs._common import load_settings
from egretlever.programs._runtime import EXIT_FINDINGS
from egretlever.schema import settings_pb2
from egretlever.settings import parse_address

_Value = TypeVar("_Value")


class ExitCode(enum.IntEnum):
    """Exit codes of all commands.

    Typer also exits with 2, the code of findings, after a usage error.
    """

    DONE = 0
    REFUSED = 1
    FINDINGS = EXIT_FINDINGS
    STORE_UNAVAILABLE = 3
    EFFECT_UNKNOWN = 4
    NODES_UNREACHABLE = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Stores:
    """Clients of the table service and the object store."""

    tables: TableStore
    objects: ObjectStore


@dataclasses.dataclass(frozen=True, slots=True)
class CtlContext:
    """Global options, given before the command.

    Parameters
    ----------
    settings_path : Path
        Settings file.
    """

    settings_path: pathlib.Path

    def load(self) -> settings_pb2.CtlSettings:
        """Read the settings, or print their findings and exit."""
        return load_settings(self.settings_path, settings_pb2.CtlSettings)


def make_stores(section: settings_pb2.PlatformSection) -> Stores:
    """Make clients of the stores in the settings."""
    # Imported here so that commands without a store, such as ``check``, do not
    # need the clients.
    from egretlever.platform import (  # type: ignore[attr-defined]
        make_object_store,
        make_table_store,
    )

    timeout = Seconds(section.timeout_s)
    return Stores(
        make_table_store(parse_address(section.table), timeout),
        make_object_store(parse_address(section.objects), timeout),
    )


def run_on_loop(
    function: Callable[..., Coroutine[Any, Any, _Value]], *arguments: Any
) -> _Value:
    """Run a coroutine function on a new curio event loop."""
    value: _Value = curio.run(function, *arguments)
    return value


def exit_with(code: ExitCode, message: str) -> NoReturn:
    """Print a message on standard error and exit with a code."""
    typer.echo(message, err=True)
    raise typer.Exit(code)


def render_table(
    header: Sequence[str], rows: Iterable[Sequence[object]]
) -> str:
    """Render a table with aligned columns.

    Examples
    --------
    >>> print(render_table(["version", "by"], [[12, "amina"]]))
    version  by
    12       amina
    """
    lines = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [
        max(len(cell) for cell in column) for column in zip(*lines, strict=True)
    ]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
