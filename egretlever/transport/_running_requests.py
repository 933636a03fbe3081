"""Requests of callers that have no answer yet."""

from typing import Any

import curio


class StopTimeout(curio.CancelledError):
    """The time that a planned stop leaves for a request has run out."""


class RunningRequests:
    """Requests without an answer, which can be ended before their deadlines.

    Each request is handled by a task of its own, which enters and leaves.
    """

    def __init__(self) -> None:
        self._tasks: set[Any] = set()
        self._ending = False

    def __len__(self) -> int:
        return len(self._tasks)

    async def enter(self) -> Any:
        """Record that the calling task handles a request; return the task."""
        task = await curio.current_task()
        self._tasks.add(task)
        return task

    async def leave(self, task: Any) -> None:
        """Record that a request has its answer."""
        self._tasks.discard(task)
        if self._ending:
            # The task may not have noticed yet that its time has run out. It
            # has an answer to send now.
            async with curio.disable_cancellation():
                await curio.check_cancellation(StopTimeout)

    async def end_all(self) -> None:
        """Raise `StopTimeout` in the tasks of all requests."""
        self._ending = True
        for task in list(self._tasks):
            await task.cancel(exc=StopTimeout, blocking=False)
