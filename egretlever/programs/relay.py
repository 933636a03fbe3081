"""egretlever-relay: relay node of a backend server on the same host.

The platform starts it as ``egretlever-relay run``. Clients of the host can't be
served until the program is loaded, so this way loads as little as possible.
"""

import gc
import sys

from egretlever.programs import _early_listener


def main() -> None:
    """Run the program."""
    path = _early_listener.find_settings_file()
    if sys.argv[1:] == ["run"] and path is not None:
        listener = _early_listener.open_early_listener(path)
        # Nothing that is loaded here becomes garbage.
        gc.disable()
        from egretlever.programs._relay_process import run_relay

        gc.freeze()
        gc.enable()
        run_relay(path, listener=listener)
    else:
        from egretlever.programs import _relay_commands

        _relay_commands.app()


if __name__ == "__main__":
    main()
