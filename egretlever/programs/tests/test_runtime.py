"""Guards the handling of signals while a program runs."""

import os
import signal

import curio

from egretlever.programs._runtime import run_until_signal

LIMIT = 10.0  # seconds; far more than a loaded host needs


def test_failed_reload_does_not_keep_the_program_from_stopping():
    # No later signal was heard: the program went on until it was killed.
    stopped = curio.Event()

    async def reload():
        os.kill(os.getpid(), signal.SIGTERM)
        raise RuntimeError("the settings can't be applied")

    async def main():
        os.kill(os.getpid(), signal.SIGHUP)
        async with curio.timeout_after(LIMIT):
            await stopped.wait()

    run_until_signal(main, stopped.set, reload)
