"""Listener for clients that is open before the program is loaded.

This module imports the standard library only.
"""

import configparser
import os
import pathlib
import socket

# Environment variable with the path of the settings file on the platform.
SETTINGS_VARIABLE = "EGRETLEVER_SETTINGS"
_BACKLOG = 1024  # connections


def find_settings_file() -> pathlib.Path | None:
    """Return the settings file that the platform names, None without one."""
    name = os.environ.get(SETTINGS_VARIABLE, "")
    return pathlib.Path(name) if name else None


def open_early_listener(path: pathlib.Path) -> socket.socket | None:
    """Open the listener for clients that the settings name.

    A host that has just restarted needs a second or more to load the program.
    Clients that connect meanwhile wait for that time instead of being refused.

    Parameters
    ----------
    path : Path
        INI file of a relay node's settings.

    Returns
    -------
    socket or None
        Listening socket; None when the settings do not name an address or it
        can't be bound. The program reports the reason when it reads them.
    """
    parser = configparser.ConfigParser(interpolation=None, strict=False)
    try:
        parser.read_string(path.read_text(encoding="utf-8"))
        ip, _, port = parser["listen"]["clients"].rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except (OSError, ValueError, KeyError, configparser.Error):
        return None
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((ip, int(port)))
        sock.listen(_BACKLOG)
    except (OSError, ValueError, OverflowError):
        sock.close()
        return None
    return sock
