"""Options, settings, logging and signal handling shared by all programs."""

import atexit
import logging as plain_logging
import pathlib
import sys
from collections.abc import Awaitable, Callable, Iterable
from typing import Annotated, Any, NoReturn, TypeVar

import curio
import typer
from absl import flags, logging
from google.protobuf import message
from pythonjsonlogger.json import JsonFormatter
from returns.pipeline import is_successful

import egretlever
from egretlever.core import Finding
from egretlever.programs._log_buffer import buffer_log
from egretlever.programs._log_output import LogOutput
from egretlever.programs._signals import RELOAD_SIGNAL, catch_signals
from egretlever.settings import read_settings

EXIT_FINDINGS = 2
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
    typer.Exit
        With code 2 when there are findings.
    """
    result = read_settings(path, kind)
    if not is_successful(result):
        exit_with_findings(result.failure())
    return result.unwrap()


def exit_with_findings(findings: Iterable[Finding]) -> NoReturn:
    """Print all findings on standard error and exit with code 2."""
    for finding in findings:
        typer.echo(str(finding), err=True)
    raise typer.Exit(EXIT_FINDINGS)


def check_settings(path: pathlib.Path, kind: type[_Settings]) -> None:
    """Validate settings and print the result; findings exit with code 2."""
    load_settings(path, kind)
    typer.echo(f"{path}: no findings")


def start_logging(verbose: bool) -> None:
    """Configure logging to standard error."""
    # The programs use typer instead of absl's flags. absl warns about log lines
    # written before its flags have been parsed.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(
        plain_logging.Formatter("%(asctime)s %(levelname).1s %(message)s")
    )
    # The log format has no such fields, and computing them is slow.
    plain_logging.logThreads = False
    plain_logging.logProcesses = False
    plain_logging.logMultiprocessing = False
    logging.set_verbosity(logging.DEBUG if verbose else logging.INFO)


def start_structured_logging(verbose: bool) -> LogOutput:
    """Configure non-blocking logging of JSON objects to standard output.

    Returns
    -------
    LogOutput
        Log output, whose `LogOutput.drain_forever` must run on the event loop.
    """
    start_logging(verbose)
    output = LogOutput(sys.stdout.fileno())
    handler = logging.get_absl_handler()
    handler.python_handler.setStream(output)
    handler.setFormatter(
        JsonFormatter(
            ["asctime", "levelname", "message"],
            rename_fields={"asctime": "time", "levelname": "level"},
        )
    )
    atexit.register(output.drain)
    return output


def run_until_signal(
    main: Callable[[], Awaitable[Any]],
    stop: Callable[[], Awaitable[Any]],
    reload: Callable[[], Awaitable[Any]] | None = None,
    output: LogOutput | None = None,
) -> None:
    """Run a coroutine on an event loop; SIGTERM and SIGINT stop gracefully.

    SIGHUP never terminates a program: without ``reload`` it is ignored.

    Parameters
    ----------
    main : callable
        Coroutine function that returns when the program has stopped.
    stop : callable
        Coroutine function that starts the graceful stop; called once.
    reload : callable, optional
        Coroutine function that reloads the settings.
    output : LogOutput, optional
        Output of structured log lines; by default log lines are buffered.
    """
    drain = (
        buffer_log().drain_forever if output is None else output.drain_forever
    )

    async def run() -> OSError | None:
        async with catch_signals() as wait_for_signal:

            async def watch() -> None:
                while await wait_for_signal() is RELOAD_SIGNAL:
                    if reload is not None:
                        await reload()
                await stop()

            watcher = await curio.spawn(watch, daemon=True)
            await curio.spawn(drain, daemon=True)
            try:
                await main()
            except OSError as error:
                # For example an address that another process uses.
                return error
            finally:
                await watcher.cancel()
        return None

    failure = curio.run(run)
    if failure is not None:
        typer.echo(f"the program ended: {failure}", err=True)
        raise typer.Exit(1)
