"""Virtual time for code that runs on curio.

curio computes timeouts with ``time.monotonic`` of its kernel module and waits
in its selector. With both replaced, time advances only when all tasks wait,
and then to the next timeout at once. The code under test runs unchanged.
"""

import contextlib
import selectors
import time
from collections.abc import Coroutine, Iterator
from typing import Any, TypeVar

import curio
import curio.kernel

from egretlever.core import Seconds

_Value = TypeVar("_Value")


class VirtualClock:
    """A clock that advances only when ``advance`` is called.

    Parameters
    ----------
    start : float, default=1000.0
        First reading, in seconds.
    """

    def __init__(self, start: float = 1000.0) -> None:
        self._now = start
        self._suspended = 0.0

    def monotonic(self) -> float:
        """Return the current reading in seconds."""
        return self._now

    def clock_gettime(self, number: int) -> float:
        """Return the reading of a clock, such as ``time.CLOCK_BOOTTIME``."""
        if number == time.CLOCK_BOOTTIME:
            return self._now + self._suspended
        return time.clock_gettime(number)

    def suspend(self, duration: float) -> None:
        """Suspend the host for a duration in seconds.

        Timeouts do not count this time, but ``time.CLOCK_BOOTTIME`` does.
        """
        self._suspended += duration

    def advance(self, duration: float) -> Seconds:
        """Advance by a duration in seconds and return the new reading."""
        self._now += duration
        return Seconds(self._now)

    def __getattr__(self, name: str) -> Any:
        # The clock replaces the time module in curio's kernel.
        return getattr(time, name)


class _VirtualSelector(selectors.DefaultSelector):  # type: ignore[misc,valid-type]
    """Selector that advances a virtual clock instead of waiting."""

    def __init__(self, clock: VirtualClock) -> None:
        super().__init__()
        self._clock = clock

    def select(self, timeout: float | None = None) -> list[Any]:
        events = super().select(0)
        if events or timeout is None:
            return events or super().select(timeout)
        if timeout > 0:
            self._clock.advance(timeout)
        return events


@contextlib.contextmanager
def replace_clock(clock: VirtualClock) -> Iterator[VirtualClock]:
    """Use a virtual clock in curio's kernel inside a ``with`` block."""
    original = curio.kernel.time
    curio.kernel.time = clock
    try:
        yield clock
    finally:
        curio.kernel.time = original


def run_virtual(
    coroutine: Coroutine[Any, Any, _Value],
    clock: VirtualClock | None = None,
) -> _Value:
    """Run a coroutine to its end in virtual time.

    Parameters
    ----------
    coroutine : coroutine
        Coroutine to run.
    clock : VirtualClock, optional
        Clock to use; a new one when absent.

    Returns
    -------
    object
        The coroutine's result.

    Examples
    --------
    >>> async def wait_an_hour():
    ...     start = await curio.clock()
    ...     await curio.sleep(3600)
    ...     return await curio.clock() - start
    >>> run_virtual(wait_an_hour())
    3600.0
    """
    clock = clock or VirtualClock()
    with replace_clock(clock):
        kernel = curio.Kernel(selector=_VirtualSelector(clock))
        with kernel:
            result: _Value = kernel.run(coroutine)
            return result
