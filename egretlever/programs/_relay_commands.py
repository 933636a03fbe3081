"""Commands of egretlever-relay."""

import json
import pathlib
from typing import Annotated

import typer
from returns.result import Failure

from egretlever.configuration_check import (
    Report,
    check_configuration,
    make_file_error,
)
from egretlever.core import Finding
from egretlever.programs import _common
from egretlever.programs._early_listener import (
    SETTINGS_VARIABLE,
    find_settings_file,
)
from egretlever.programs._relay_process import (
    load_settings_and_bounds,
    read_settings_and_bounds,
    run_relay,
)
from egretlever.programs._runtime import EXIT_FINDINGS, exit_with_findings
from egretlever.relay import LogEntry, find_log_entries

# Larger files are refused, so that the command needs a bounded memory. A
# configuration of 5,100 routes has 1.4 MB.
_MAX_FILE_BYTES = 16 << 20
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


def _read_file(path: pathlib.Path) -> bytes:
    """Read a configuration file of at most the largest size."""
    with path.open("rb") as file:
        body = file.read(_MAX_FILE_BYTES + 1)
    if len(body) > _MAX_FILE_BYTES:
        raise OSError(f"has more than {_MAX_FILE_BYTES} bytes")
    return body


@app.command(name="check-configuration")
def check_configuration_file(
    file: Annotated[
        pathlib.Path,
        typer.Argument(help="Configuration, JSON as in op/config."),
    ],
    in_force: Annotated[
        pathlib.Path | None,
        typer.Option(help="Version in force, to tell the differences."),
    ] = None,
    settings: Annotated[
        pathlib.Path | None,
        typer.Option(help="INI file of settings with the platform's bounds."),
    ] = None,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print JSON.")
    ] = False,
) -> None:
    """Check a configuration before it is sent.

    Exits with 0 if there is nothing to report but differences, 1 after
    warnings, and 2 after errors. Keys are never printed.
    """
    bodies, failures = [], []
    for path in (file, in_force):
        try:
            if path is not None:
                bodies.append((str(path), _read_file(path)))
        except OSError as error:
            failures.append(make_file_error(str(path), str(error)))
    bounds = None
    if settings is not None:
        result = read_settings_and_bounds(settings)
        if isinstance(result, Failure):
            failures += [
                make_file_error(str(settings), str(finding))
                for finding in result.failure()
            ]
        else:
            bounds = result.unwrap()[1]
    report = Report(tuple(failures))
    if not failures:
        old = bodies[1] if len(bodies) > 1 else None
        report = check_configuration(*bodies[0], old, bounds)
    if as_json:
        lines = [line.describe() for line in report.lines]
        typer.echo(json.dumps({"lines": lines}, indent=1))
    else:
        for line in report.lines:
            typer.echo(str(line))
    raise typer.Exit(report.exit_code)
