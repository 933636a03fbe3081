"""What the commands of the operator's program share."""

import dataclasses
import enum
import pathlib
from collections.abc import Callable, Coroutine, Iterable, Sequence
from typing import Any, NoReturn, TypeVar

import curio
import typer

from egretlever.core import Seconds
from egretlever.platform import ObjectStore, TableStore
from egretlever.programs._common import EXIT_FINDINGS, load_settings
from egretlever.schema import settings_pb2
from egretlever.settings import parse_address

_Value = TypeVar("_Value")


class ExitCode(enum.IntEnum):
    """Exit codes of all commands.

    Typer ends with 2 after an error in the command line, which is a finding
    too.
    """

    DONE = 0
    REFUSED = 1
    FINDINGS = EXIT_FINDINGS
    STORE_AWAY = 3
    EFFECT_UNKNOWN = 4
    NODES_AWAY = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Stores:
    """Clients of the platform's two stores."""

    tables: TableStore
    objects: ObjectStore


@dataclasses.dataclass(frozen=True, slots=True)
class CtlContext:
    """What the options before the command say.

    Parameters
    ----------
    settings_path : Path
        File of settings.
    """

    settings_path: pathlib.Path

    def load(self) -> settings_pb2.CtlSettings:
        """Read the settings, or end the program with their findings."""
        return load_settings(self.settings_path, settings_pb2.CtlSettings)


def make_stores(section: settings_pb2.PlatformSection) -> Stores:
    """Make the clients of the stores named in the settings."""
    # The clients are imported here so that commands without a store, such as
    # checks of files, work without them.
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
    """Run a coroutine function to its end on a curio loop."""
    value: _Value = curio.run(function, *arguments)
    return value


def exit_with(code: ExitCode, message: str) -> NoReturn:
    """Print a message on standard error and end with an exit code."""
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
