"""A home node with a scripted server, and an entry node's connections."""

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import curio

from egretlever.core import Address, Incarnation
from egretlever.placement import OverdueReport, Reply
from egretlever.platform import Bounds
from egretlever.relay._acceptor import RelayAcceptor
from egretlever.relay._home import HomeNode, make_home_node
from egretlever.relay._interfaces import OfferObserver
from egretlever.relay._links import LinkPool
from egretlever.testing._clock import VirtualClock, run_virtual
from egretlever.testing._relay_doubles import (
    NoticeRecorder,
    ProgressRecorder,
    SingleHome,
)
from egretlever.testing._scripted_server import (
    ScriptedServer,
    ServerExchange,
    Step,
    answer,
)
from egretlever.testing.relay_builders import build_heartbeat, build_offer
from egretlever.transport import open_listener, read_clock


def serve(
    body: bytes = b"ok", status: int = 200, after: float = 0.0, *lines: bytes
) -> Step:
    """Make a step that answers like the platform's servers."""

    async def step(exchange: ServerExchange) -> bool:
        name = (exchange.head.find(b"x-request-id") or "").encode()
        own = (b"x-request-id: " + name, b"x-response-signature: s", *lines)
        return await answer(body, status, *own, after=after)(exchange)

    return step


async def _ignore() -> None:
    """Ignore that the server says that it leaves."""


def make_home(
    report_leaving: Callable[[], Awaitable[None]] = _ignore, **bounds: Any
) -> HomeNode:
    """Make a home node of a fleet without others."""
    return make_home_node(
        Bounds(**bounds), SingleHome(), report_leaving=report_leaving
    )


class RelayFixture:
    """A home node with a scripted server, and an entry node's connections.

    Parameters
    ----------
    *steps : Step
        Script of the server.
    slots : int, default=2
        Slots of the server.
    **options
        Parameters of `make_home`.
    """

    def __init__(self, *steps: Step, slots: int = 2, **options: Any) -> None:
        self.server = ScriptedServer(*(steps or (serve(),)))
        self.options = options
        self.home: Any = None
        self.notices = NoticeRecorder()
        self.links = LinkPool(self.notices)
        self.slots = slots
        self.incarnation = 1
        self.tasks: list[Any] = []

    async def start_home(self) -> None:
        """Start the home node's tasks."""
        acceptor = RelayAcceptor(self.home, Incarnation(self.incarnation))
        for part in (
            lambda: acceptor.serve_forever(self.listener),
            self.home.slots.expire_forever,
            self.home.notice_publisher.publish_forever,
            self.home.jobs.expire_forever,
        ):
            self.tasks.append(await curio.spawn(part, daemon=True))

    def announce(self, **changes: Any) -> None:
        """Let the server send a heartbeat."""
        heartbeat = build_heartbeat(
            address=self.server.address, slots=self.slots, **changes
        )
        self.home.local.observe(heartbeat, read_clock())
        self.home.apply_heartbeat()

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator["RelayFixture"]:
        """Run the home node and its server."""
        # Created here, so that it uses the virtual clock.
        self.home = make_home(**self.options)
        # Few retries are allowed within the first window.
        await curio.sleep(20.0)
        self.tasks.append(await curio.spawn(self.server.run, daemon=True))
        self.listener = open_listener(Address("127.0.0.1", 0))
        self.relay = Address(*self.listener.getsockname()[:2])
        await self.start_home()
        self.announce()
        try:
            yield self
        finally:
            for task in self.tasks:
                await task.cancel()
            await self.listener.close()

    async def offer(
        self,
        request: str = "r-1",
        observer: OfferObserver | None = None,
        **changes: Any,
    ) -> Reply:
        """Offer a request over the connections of the entry node."""
        return await self.links.offer(
            self.relay, build_offer(request, **changes), observer=observer
        )

    async def offer_until_overdue(
        self, request: str = "r-1", **changes: Any
    ) -> Reply | OverdueReport:
        """Offer a request that is withdrawn when it is reported as overdue."""
        observer = ProgressRecorder()
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(lambda: self.offer(request, observer, **changes))
            await group.spawn(observer.wait_overdue)
        result: Reply | OverdueReport = group.completed.result
        return result


def run_script(
    fixture: RelayFixture,
    script: Callable[[], Awaitable[Any]],
    clock: VirtualClock | None = None,
) -> Any:
    """Run a script in virtual time while the fixture runs."""

    async def main() -> Any:
        async with fixture.running():
            return await script()

    return run_virtual(main(), clock)
