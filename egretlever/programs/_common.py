"""Options and settings shared by all programs."""

import pathlib
from typing import Annotated, Any, TypeVar

import typer
from google.protobuf import message
from returns.pipeline import is_successful

import egretlever
from egretlever.programs._runtime import exit_with_findings
from egretlever.settings import read_settings

_Settings = TypeVar("_Settings", bound=message.Message)


def make_app(name: str, description: str) -> typer.Typer:
    """Make a typer application with the option ``--version``.

    Parameters
    ----------
    name : str
        Name of the program.
    description : str
        Help text of the program.

    Returns
    -------
    typer.Typer
        Application without commands.
    """
    app = typer.Typer(
        help=description,
        no_args_is_help=True,
        add_completion=False,
        pretty_exceptions_enable=False,
    )

    @app.callback()
    def _options(version: make_version_option(name) = False) -> None:  # type: ignore[valid-type]
        del version

    return app


def make_version_option(name: str) -> Any:
    """Make the annotated type of the ``--version`` option."""

    def print_version(wanted: bool) -> None:
        if wanted:
            typer.echo(f"{name} {egretlever.__version__}")
            raise typer.Exit

    return Annotated[
        bool,
        typer.Option(
            "--version",
            callback=print_version,
            is_eager=True,
            help="Print the version and exit.",
        ),
    ]


def load_settings(path: pathlib.Path, kind: type[_Settings]) -> _Settings:
    """Read settings, or print all findings and exit with code 2.

    Parameters
    ----------
    path : Path
        INI file.
    kind : type of Message
        Generated settings message.

    Returns
    -------
    Message
        The settings.

    Raises
    ------
    SystemExit
        With code 2 when there are findings.
    """
    result = read_settings(path, kind)
    if not is_successful(result):
        exit_with_findings(result.failure())
    return result.unwrap()


def check_settings(path: pathlib.Path, kind: type[_Settings]) -> None:
    """Validate settings and print the result; findings exit with code 2."""
    load_settings(path, kind)
    typer.echo(f"{path}: no findings")
