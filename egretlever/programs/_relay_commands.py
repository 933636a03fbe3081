"""Commands of egretlever-relay."""

import pathlib
from typing import Annotated

import typer

from egretlever.core import Finding
from egretlever.programs import _common
from egretlever.programs._early_listener import (
    SETTINGS_VARIABLE,
    find_settings_file,
)
from egretlever.programs._relay_process import (
    load_settings_and_bounds,
    run_relay,
)
from egretlever.programs._runtime import EXIT_FINDINGS, exit_with_findings
from egretlever.relay import LogEntry, find_log_entries

app = _common.make_app(
    "egretlever-relay", "Node beside a server that only its host can reach."
)
_File = Annotated[
    pathlib.Path | None,
    typer.Argument(
        help=f"INI file of settings; by default that in {SETTINGS_VARIABLE}."
    ),
]


def _find_settings_file(file: pathlib.Path | None) -> pathlib.Path:
    found = file or find_settings_file()
    if found is None:
        typer.echo(f"neither a file nor {SETTINGS_VARIABLE} is given", err=True)
        raise typer.Exit(EXIT_FINDINGS)
    return found


@app.command()
def check(file: _File = None) -> None:
    """Check settings and print all findings."""
    path = _find_settings_file(file)
    load_settings_and_bounds(path)
    typer.echo(f"{path}: no findings")


@app.command()
def run(
    file: _File = None,
    verbose: Annotated[bool, typer.Option(help="Log debug lines.")] = False,
) -> None:
    """Run the node until a planned stop by SIGTERM or SIGINT.

    SIGHUP reads the settings again. A change without a signal is found within
    five seconds.
    """
    run_relay(_find_settings_file(file), verbose)


@app.command()
def explain(
    request: Annotated[str, typer.Argument(help="Id of the request.")],
    files: Annotated[
        list[pathlib.Path], typer.Argument(help="Logs of one or more nodes.")
    ],
) -> None:
    """Print what the logs of several nodes say of one request, by time."""
    log_entries: list[LogEntry] = []
    for file in files:
        try:
            with file.open(encoding="utf-8", errors="replace") as lines:
                log_entries += find_log_entries(request, file.name, lines)
        except OSError as error:
            exit_with_findings((Finding(str(file), str(error)),))
    if not log_entries:
        typer.echo(f"no line about {request}", err=True)
        raise typer.Exit(1)
    for entry in sorted(log_entries):
        typer.echo(f"{entry.time} {entry.source}: {entry.text}")
