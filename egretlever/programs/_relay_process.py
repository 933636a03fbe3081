"""Process of a relay node: settings, signals and the node."""

import pathlib
import socket

import curio
from returns.result import Failure, Result, Success

from egretlever.core import make_log
from egretlever.platform import Bounds, decode_bounds
from egretlever.programs import _runtime
from egretlever.relay import make_relay_node
from egretlever.schema import settings_pb2
from egretlever.settings import Findings, read_settings

_LOG = make_log("settings")
_WATCH_INTERVAL = 5.0  # seconds between reads of the settings file


def read_settings_and_bounds(
    path: pathlib.Path,
) -> Result[tuple[settings_pb2.RelaySettings, Bounds], Findings]:
    """Read settings and decode the bounds in them."""
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


def load_settings_and_bounds(
    path: pathlib.Path,
) -> tuple[settings_pb2.RelaySettings, Bounds]:
    """Read settings, or print all findings and exit with code 2.

    Parameters
    ----------
    path : Path
        INI file.

    Returns
    -------
    RelaySettings, Bounds
        The settings, and the limits that the platform sets.
    """
    result = read_settings_and_bounds(path)
    if isinstance(result, Failure):
        _runtime.exit_with_findings(result.failure())
    return result.unwrap()


def run_relay(
    path: pathlib.Path,
    verbose: bool = False,
    listener: socket.socket | None = None,
) -> None:
    """Run a relay node until a planned stop.

    Parameters
    ----------
    path : Path
        INI file of settings.
    verbose : bool, default=False
        Whether debug lines are logged.
    listener : socket, optional
        Listener for clients that is already open.
    """
    settings, bounds = load_settings_and_bounds(path)
    output = _runtime.start_structured_logging(verbose)
    node = make_relay_node(settings, bounds, listener)

    async def reload() -> None:
        result = read_settings_and_bounds(path)
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
                await _runtime.run_reload(reload)

    async def main_task() -> None:
        watcher = await curio.spawn(watch, daemon=True)
        try:
            await node.run()
        finally:
            await watcher.cancel()

    _runtime.run_until_signal(main_task, node.stop, reload, output)
