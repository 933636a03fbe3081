"""egretlever-backend: simulated backend server for tests."""

import pathlib
from typing import Annotated

import typer

from egretlever.programs import _common, _runtime
from egretlever.schema import settings_pb2
from egretlever.standins import make_backend

app = _common.make_app(
    "egretlever-backend", "Stand-in of a backend server with faults."
)
_File = Annotated[pathlib.Path, typer.Argument(help="INI file of settings.")]


@app.command()
def check(file: _File) -> None:
    """Check settings and print all findings."""
    _common.check_settings(file, settings_pb2.BackendStandInSettings)


@app.command()
def run(
    file: _File,
    verbose: Annotated[bool, typer.Option(help="Log debug lines.")] = False,
) -> None:
    """Run the stand-in until a planned stop or a signal."""
    settings = _common.load_settings(file, settings_pb2.BackendStandInSettings)
    _runtime.start_logging(verbose)
    backend = make_backend(settings)
    _runtime.run_until_signal(backend.run, lambda _: backend.drain())


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
