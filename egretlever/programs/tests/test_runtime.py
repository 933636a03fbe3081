"""Guards the handling of signals while a program runs."""

import os
import signal
import time

import curio
import pytest

from egretlever.programs._runtime import run_until_signal
from egretlever.transport import read_clock

LIMIT = 10.0  # seconds; far more than a loaded host needs


@pytest.mark.parametrize(
    "error",
    [RuntimeError("the settings can't be applied"), curio.TaskTimeout()],
)
def test_failed_reload_does_not_keep_the_program_from_stopping(error):
    # No later signal was heard: the program went on until it was killed.
    stopped = curio.Event()

    async def reload():
        os.kill(os.getpid(), signal.SIGTERM)
        raise error

    async def main():
        os.kill(os.getpid(), signal.SIGHUP)
        async with curio.timeout_after(LIMIT):
            await stopped.wait()

    run_until_signal(main, lambda _: stopped.set(), reload)


def test_time_of_a_signal_is_when_it_came_and_not_when_the_loop_took_it():
    # The time to stop gracefully counts from the signal.
    delay = 0.3
    stopped = curio.Event()
    late = []

    async def stop(received_at):
        late.append(read_clock() - received_at)
        await stopped.set()

    async def main():
        os.kill(os.getpid(), signal.SIGTERM)
        time.sleep(delay)  # a long turn of the loop
        async with curio.timeout_after(LIMIT):
            await stopped.wait()

    run_until_signal(main, stop)
    assert late[0] >= delay
