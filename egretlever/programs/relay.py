"""egretlever-relay: node beside a server that only its host can reach."""

import os
import pathlib
from typing import Annotated

import typer
from returns.result import Failure

from egretlever.platform import Bounds, decode_bounds
from egretlever.programs import _common
from egretlever.relay import make_relay_node
from egretlever.schema import settings_pb2

app = _common.make_app(
    "egretlever-relay", "Node beside a server that only its host can reach."
)
# Names the settings file on the platform.
SETTINGS_VARIABLE = "EGRETLEVER_SETTINGS"
_File = Annotated[
    pathlib.Path | None,
    typer.Argument(
        help=f"INI file of settings; by default that in {SETTINGS_VARIABLE}."
    ),
]


def _find_file(file: pathlib.Path | None) -> pathlib.Path:
    name = str(file or os.environ.get(SETTINGS_VARIABLE, ""))
    if not name:
        typer.echo(f"neither a file nor {SETTINGS_VARIABLE} is given", err=True)
        raise typer.Exit(_common.EXIT_FINDINGS)
    return pathlib.Path(name)


def _load(
    file: pathlib.Path | None,
) -> tuple[settings_pb2.RelaySettings, Bounds]:
    settings = _common.load_settings(
        _find_file(file), settings_pb2.RelaySettings
    )
    bounds = decode_bounds(settings.bounds.platform)
    if isinstance(bounds, Failure):
        _common.exit_with_findings(bounds.failure())
    return settings, bounds.unwrap()


@app.command()
def check(file: _File = None) -> None:
    """Check settings and print all findings."""
    _load(file)
    typer.echo(f"{_find_file(file)}: no findings")


@app.command()
def run(
    file: _File = None,
    verbose: Annotated[bool, typer.Option(help="Log debug lines.")] = False,
) -> None:
    """Run the node until a planned stop by SIGTERM or SIGINT."""
    settings, bounds = _load(file)
    _common.start_logging(verbose)
    node = make_relay_node(settings, bounds)
    _common.run_until_signal(node.run, node.stop)


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
