"""Logging and signal handling shared by all programs."""

import atexit
import logging as plain_logging
import sys
import traceback
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, NoReturn

import curio
from absl import flags, logging
from pythonjsonlogger.json import JsonFormatter

from egretlever.core import Finding, Seconds, make_log
from egretlever.programs._log_buffer import buffer_log
from egretlever.programs._log_output import LogOutput
from egretlever.programs._signals import RELOAD_SIGNAL, catch_signals

_LOG = make_log("runtime")
EXIT_FINDINGS = 2


def exit_with_findings(findings: Iterable[Finding]) -> NoReturn:
    """Print all findings on standard error and exit with code 2."""
    for finding in findings:
        print(finding, file=sys.stderr)
    raise SystemExit(EXIT_FINDINGS)


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


async def run_reload(reload: Callable[[], Awaitable[Any]]) -> None:
    """Reload the settings; a failure must not keep later signals unheard."""
    try:
        await reload()
    except curio.TaskCancelled:
        raise
    except (Exception, curio.CancelledError):
        _LOG.error("Reloading failed:\n%s", traceback.format_exc())


def run_until_signal(
    main: Callable[[], Awaitable[Any]],
    stop: Callable[[Seconds], Awaitable[Any]],
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
        Coroutine function that starts the graceful stop; called once with the
        clock time at which the signal was received.
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
                while (
                    found := await wait_for_signal()
                ).signal is RELOAD_SIGNAL:
                    if reload is not None:
                        await run_reload(reload)
                await stop(found.at)

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
        print(f"the program ended: {failure}", file=sys.stderr)
        raise SystemExit(1)
