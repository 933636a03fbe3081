"""egretlever-platform: simulated table service and object store."""

import pathlib
from typing import Annotated

import curio
import typer

from egretlever.core import Seconds, make_log
from egretlever.programs import _common, _runtime
from egretlever.schema import settings_pb2
from egretlever.settings import parse_address
from egretlever.standins import (
    listen_platform,
    make_platform_stand_in,
    serve_platform,
)

_LOG = make_log("platform")

app = _common.make_app(
    "egretlever-platform",
    "Stand-in of the table service and the object store.",
)
_File = Annotated[pathlib.Path, typer.Argument(help="INI file of settings.")]


@app.command()
def check(file: _File) -> None:
    """Check settings and print all findings."""
    _common.check_settings(file, settings_pb2.PlatformStandInSettings)


@app.command()
def run(
    file: _File,
    verbose: Annotated[bool, typer.Option(help="Log debug lines.")] = False,
) -> None:
    """Serve both stores until SIGTERM or SIGINT."""
    settings = _common.load_settings(file, settings_pb2.PlatformStandInSettings)
    _runtime.start_logging(verbose)
    section = settings.platform
    stopped = curio.Event()

    async def serve() -> None:
        listener = await listen_platform(parse_address(section.listen))
        stand_in = make_platform_stand_in(Seconds(section.latency_s))
        server = await curio.spawn(serve_platform, listener, stand_in)
        _LOG.info("Listening on %s.", section.listen)
        await stopped.wait()
        _LOG.info("Stopping.")
        await server.cancel()

    try:
        _runtime.run_until_signal(serve, lambda _: stopped.set())
    except OSError as error:
        typer.echo(f"{section.listen}: {error}", err=True)
        raise typer.Exit(1) from None


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
