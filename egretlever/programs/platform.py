"""Command of the platform stand-in: ``egretlever-platform``."""

import pathlib
from typing import Annotated

import curio
import typer
from returns.result import Failure

import egretlever
from egretlever.core import Seconds, make_log
from egretlever.programs._signals import catch_stop_signals
from egretlever.schema import settings_pb2
from egretlever.settings import parse_address, read_settings
from egretlever.standins import (
    listen_platform,
    make_platform_stand_in,
    serve_platform,
)

_LOG = make_log("platform")
_BAD_SETTINGS = 2

app = typer.Typer(
    help="Stand-in of the table service and the object store.",
    no_args_is_help=True,
)
_SettingsPath = Annotated[pathlib.Path, typer.Argument(help="INI file.")]


def _print_version(wanted: bool) -> None:
    if wanted:
        typer.echo(f"egretlever-platform {egretlever.__version__}")
        raise typer.Exit


@app.callback()
def _describe(
    version: Annotated[
        bool,
        typer.Option(
            "--version", callback=_print_version, is_eager=True, help="Version."
        ),
    ] = False,
) -> None:
    """Stand-in of the table service and the object store."""


def _load(path: pathlib.Path) -> settings_pb2.PlatformStandInSettings:
    result = read_settings(path, settings_pb2.PlatformStandInSettings)
    if isinstance(result, Failure):
        for finding in result.failure():
            typer.echo(str(finding), err=True)
        raise typer.Exit(_BAD_SETTINGS)
    return result.unwrap()


@app.command()
def check(path: _SettingsPath) -> None:
    """Check the settings and report every finding."""
    _load(path)
    typer.echo(f"{path}: no findings")


@app.command()
def run(path: _SettingsPath) -> None:
    """Serve both stores until SIGTERM or SIGINT."""
    settings = _load(path)
    try:
        curio.run(_serve(settings.platform))
    except OSError as error:
        typer.echo(f"{settings.platform.listen}: {error}", err=True)
        raise typer.Exit(1) from None


async def _serve(section: settings_pb2.PlatformStandInSection) -> None:
    async with catch_stop_signals() as wait_for_stop:
        listener = await listen_platform(parse_address(section.listen))
        stand_in = make_platform_stand_in(Seconds(section.latency_s))
        server = await curio.spawn(serve_platform, listener, stand_in)
        _LOG.info("listens on %s", section.listen)
        await wait_for_stop()
        _LOG.info("stops")
        await server.cancel()


def main() -> None:
    """Run the command."""
    app()


if __name__ == "__main__":
    main()
