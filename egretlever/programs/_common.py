"""Options, settings and signals that all programs share."""

import logging as plain_logging
import pathlib
import signal
import socket
import sys
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import curio
import curio.io
import typer
from absl import flags, logging
from google.protobuf import message
from returns.pipeline import is_successful

import egretlever
from egretlever.programs._log_buffer import buffer_log
from egretlever.settings import read_settings

EXIT_FINDINGS = 2
_Settings = TypeVar("_Settings", bound=message.Message)


def make_app(name: str, description: str) -> typer.Typer:
    """Make a program with the option ``--version``.

    Parameters
    ----------
    name : str
        Name of the program.
    description : str
        Help text of the program.

    Returns
    -------
    typer.Typer
        The program, without commands.
    """
    app = typer.Typer(
        help=description,
        no_args_is_help=True,
        add_completion=False,
        pretty_exceptions_enable=False,
    )

    def print_version(wanted: bool) -> None:
        if wanted:
            print(f"{name} {egretlever.__version__}")
            raise typer.Exit

    @app.callback()
    def _options(
        version: bool = typer.Option(
            False,
            "--version",
            callback=print_version,
            is_eager=True,
            help="Print the version and exit.",
        ),
    ) -> None:
        del version

    return app


def load_settings(path: pathlib.Path, kind: type[_Settings]) -> _Settings:
    """Read settings, or print every finding and exit with code 2.

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
    if is_successful(result):
        return result.unwrap()
    for finding in result.failure():
        print(finding, file=sys.stderr)
    raise typer.Exit(EXIT_FINDINGS)


def check_settings(path: pathlib.Path, kind: type[_Settings]) -> None:
    """Check settings and say so; exits with code 2 on findings."""
    load_settings(path, kind)
    print(f"{path}: no findings")


def start_logging(verbose: bool) -> None:
    """Send log lines to standard error."""
    # The programs take their options from typer and not from absl's flags,
    # and absl warns about lines that come before it has parsed its flags.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(
        plain_logging.Formatter("%(asctime)s %(levelname).1s %(message)s")
    )
    # The lines don't show them, and finding them takes time for each line.
    plain_logging.logThreads = False
    plain_logging.logProcesses = False
    plain_logging.logMultiprocessing = False
    logging.set_verbosity(logging.DEBUG if verbose else logging.INFO)


def run_until_signal(
    main: Callable[[], Awaitable[Any]],
    stop: Callable[[], Awaitable[Any]],
) -> None:
    """Run a coroutine on one loop, with a planned stop on SIGTERM or SIGINT.

    Parameters
    ----------
    main : callable
        Coroutine function that runs until the program has stopped.
    stop : callable
        Coroutine function that begins the planned stop. It is called once.
    """

    async def watch() -> None:
        await wait_for_signal(signal.SIGTERM, signal.SIGINT)
        await stop()

    async def run() -> None:
        watcher = await curio.spawn(watch, daemon=True)
        await curio.spawn(buffer_log().drain_forever, daemon=True)
        await main()
        await watcher.cancel()

    curio.run(run)


async def wait_for_signal(*signals: signal.Signals) -> None:
    """Wait on the loop until the process receives one of some signals.

    The interpreter writes the signal's number to a socket that the loop
    watches, so no code runs inside a signal handler.

    Parameters
    ----------
    *signals : signal.Signals
        Signals to wait for; their default actions are replaced.
    """
    receiver, sender = socket.socketpair()
    sender.setblocking(False)
    signal.set_wakeup_fd(sender.fileno(), warn_on_full_buffer=False)
    for number in signals:
        signal.signal(number, lambda *_: None)
    wakeup = curio.io.Socket(receiver)
    await wakeup.recv(1)
    signal.set_wakeup_fd(-1)
    await wakeup.close()
    sender.close()
