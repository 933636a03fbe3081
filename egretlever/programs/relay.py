"""egretlever-relay: relay node of a backend server on the same host."""

import os
import pathlib
from typing import Annotated

import curio
import typer
from returns.result import Failure, Result, Success

from egretlever.core import Finding, make_log
from egretlever.platform import Bounds, decode_bounds
from egretlever.programs import _common
from egretlever.relay import LogEntry, find_log_entries, make_relay_node
from egretlever.schema import settings_pb2
from egretlever.settings import Findings, read_settings

_LOG = make_log("settings")
app = _common.make_app(
    "egretlever-relay", "Node beside a server that only its host can reach."
)
# Environment variable with the path of the settings file on the platform.
SETTINGS_VARIABLE = "EGRETLEVER_SETTINGS"
_WATCH_INTERVAL = 5.0  # seconds between reads of the settings file
_File = Annotated[
    pathlib.Path | None,
    typer.Argument(
        help=f"INI file of settings; by default that in {SETTINGS_VARIABLE}."
    ),
]


def _find_settings_file(file: pathlib.Path | None) -> pathlib.Path:
    name = str(file or os.environ.get(SETTINGS_VARIABLE, ""))
    if not name:
        typer.echo(f"neither a file nor {SETTINGS_VARIABLE} is given", err=True)
        raise typer.Exit(_common.EXIT_FINDINGS)
    return pathlib.Path(name)


def _read_settings_and_bounds(
    path: pathlib.Path,
) -> Result[tuple[settings_pb2.RelaySettings, Bounds], Findings]:
    read = read_settings(path, settings_pb2.RelaySettings)
    if isinstance(read, Failure):
        return read
    settings = read.unwrap()
    bounds = decode_bounds(settings.bounds.platform)
    if isinstance(bounds, Failure):
        return bounds
    return Success((settings, bounds.unwrap()))


def _read_bytes(path: pathlib.Path) -> bytes | None:
    try:
        return path.read_bytes()
    except OSError as error:
        _LOG.warning("Cannot read the settings file: %s.", error)
        return None


def _load_settings_and_bounds(
    path: pathlib.Path,
) -> tuple[settings_pb2.RelaySettings, Bounds]:
    result = _read_settings_and_bounds(path)
    if isinstance(result, Failure):
        _common.exit_with_findings(result.failure())
    return result.unwrap()


@app.command()
def check(file: _File = None) -> None:
    """Check settings and print all findings."""
    path = _find_settings_file(file)
    _load_settings_and_bounds(path)
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
    path = _find_settings_file(file)
    settings, bounds = _load_settings_and_bounds(path)
    output = _common.start_structured_logging(verbose)
    node = make_relay_node(settings, bounds)

    async def reload() -> None:
        result = _read_settings_and_bounds(path)
        if isinstance(result, Failure):
            for finding in result.failure():
                _LOG.error("New settings are invalid and ignored: %s.", finding)
            return
        node.reload(*result.unwrap())

    async def watch() -> None:
        """Reload the settings when the content of the file has changed."""
        current = _read_bytes(path)
        while True:
            await curio.sleep(_WATCH_INTERVAL)
            found = _read_bytes(path)
            if found is not None and found != current:
                current = found
                await reload()

    async def main_task() -> None:
        watcher = await curio.spawn(watch, daemon=True)
        try:
            await node.run()
        finally:
            await watcher.cancel()

    _common.run_until_signal(main_task, node.stop, reload, output)


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
            _common.exit_with_findings((Finding(str(file), str(error)),))
    if not log_entries:
        typer.echo(f"no line about {request}", err=True)
        raise typer.Exit(1)
    for entry in sorted(log_entries):
        typer.echo(f"{entry.time} {entry.source}: {entry.text}")


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
