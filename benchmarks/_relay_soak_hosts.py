"""Hosts of a relay soak run: a relay process, its server and its callers."""

import json
import random
import signal

import curio

from benchmarks._relay_soak_callers import (
    LARGE_PATH,
    LONG_ORDERS_PATH,
    LONG_PATH,
    PADDING,
    TAIL_PATH,
    CallerContext,
    ConnectionUser,
)
from benchmarks._relay_soak_checks import ServerSignal
from benchmarks._relay_soak_configurations import (
    SERVICES,
    ConfigurationHistory,
)
from benchmarks._relay_soak_network import (
    FaultyProxy,
    SoakStore,
    hold_address,
)
from benchmarks._relay_soak_plan import DOMAINS
from benchmarks._relay_soak_records import Records, ServerRun
from benchmarks._relay_soak_untrusted import (
    MAX_OPEN_FILES,
    MEMORY_MB,
    UNREAD_BYTES,
    UNREAD_PREFIX,
    run_untrusted,
)
from egretlever.core import (
    Address,
    Incarnation,
    RequestId,
    ServerId,
)
from egretlever.platform import headers
from egretlever.platform.tests.wire_builders import build_heartbeat_body
from egretlever.testing import (
    Fleet,
    ServerExchange,
    answer,
    reserve_addresses,
)
from egretlever.testing._scripted_server import ScriptedServer, Step
from egretlever.testing._untrusted_clients import ProcessUse
from egretlever.transport import (
    CallerDisconnectedError,
    read_clock,
    send_request,
)

_SLOTS = 5
_HEARTBEAT_INTERVAL = 0.5  # seconds
_MEAN_SERVICE_TIME = 0.05  # seconds
_GRAY_SHARE = 0.85  # of requests that a gray server fails immediately
_ERROR_SHARE = 0.02  # of requests that a healthy server fails
_SHED_SHARE = 0.03  # of requests that any server sheds
_BAD_ANSWER_SHARE = 0.3  # of the answers of a server that writes bad ones
_ENDLESS_LIMIT = 2000  # writes after which an endless answer is broken off
_ENDLESS_INTERVAL = 0.002  # seconds between two of its writes
_DRAIN_LINGER = 3.0  # seconds of serving after the node knows of the drain
_CALLERS = 3
_CHANGING_CALLERS = 2
_LONG_TAIL_CALLERS = 2
_FIRST_BORN_MS = 1_700_000_000_000
_REGIONS = {"domain-0": "north", "domain-1": "north", "domain-2": "south"}


class SoakHost:
    """One host: a relay process, a server and callers in this process.

    Parameters
    ----------
    fleet : Fleet
        Fleet that starts the relay process.
    store : SoakStore
        Store of the platform.
    records : Records
        Records to which requests and runs are added.
    configurations : ConfigurationHistory
        Configurations, whose routes are called.
    number : int
        Number of the host. The first hosts have the lowest addresses of their
        failure domains, so that the others follow them.
    addresses : tuple of Address
        Address of the node for other nodes, and the next higher one for the
        proxy before it.
    rng : random.Random
        Source of service times, failures and call intervals.
    untrusted : bool, default=False
        Whether untrusted clients call the node beside the ordinary ones.

    Attributes
    ----------
    name : str
        Name of the host.
    proxy : FaultyProxy
        Proxy through which other nodes reach this one.
    gray : bool
        Whether the server has a gray failure and fails most requests.
    bad_answers : bool
        Whether the server writes copies of earlier answers and refusals, and
        answers without end.
    limit : float or None
        Requests per second that the server names in its answers.
    leaving : bool
        Whether the server says in its answers that it leaves.
    signals : list of ServerSignal
        Signals in the answers of the host's servers.
    """

    def __init__(
        self,
        fleet: Fleet,
        store: SoakStore,
        records: Records,
        configurations: ConfigurationHistory,
        number: int,
        addresses: tuple[Address, Address],
        rng: random.Random,
        untrusted: bool = False,
    ) -> None:
        self.name = f"host-{number}"
        self.gray = False
        self.bad_answers = False
        self.limit: float | None = None
        self.leaving = False
        self.signals: list[ServerSignal] = []
        self._untrusted = untrusted
        self._last_answer: Step | None = None
        self._fleet = fleet
        self._store = store
        self._records = records
        self._rng = rng
        self._domain = f"domain-{number % DOMAINS}"
        self._service = SERVICES[number // DOMAINS % len(SERVICES)]
        clients, self._health, self._heartbeats, metrics = reserve_addresses(4)
        relay, proxy = addresses
        self.proxy = FaultyProxy(relay, proxy)
        listening = (clients, self._health, self._heartbeats, metrics, relay)
        self._held = [hold_address(address) for address in listening]
        store.proxies[str(relay)] = self.proxy
        self._path = fleet.write_settings(
            self.name,
            {
                "identity": {
                    "node": self.name,
                    "failure_domain": self._domain,
                    "region": _REGIONS[self._domain],
                    "service": self._service,
                    "regions": ", ".join(
                        f"{domain}:{region}"
                        for domain, region in _REGIONS.items()
                    ),
                },
                "listen": {
                    "clients": clients,
                    "health": self._health,
                    "announcements": self._heartbeats,
                    "ip": relay.ip,
                    "relay_port": relay.port,
                    "metrics_port": metrics.port,
                },
                "store": {"address": store.address},
                "bounds": {"heartbeat": "500ms", "platform": "grace=6s"},
                "limits": (
                    {"memory_mb": MEMORY_MB, "max_open_files": MAX_OPEN_FILES}
                    if untrusted
                    else {}
                ),
            },
        )
        self._starts = 0
        self._context = CallerContext(
            self.name, clients, records, configurations, lambda: self._starts
        )
        self._born = _FIRST_BORN_MS + number
        self._server = ScriptedServer(self._answer)
        self._draining = self._withdrawn = False
        self.start()

    @property
    def server_id(self) -> ServerId:
        """Id of the current server."""
        return ServerId(f"i-{self._born}")

    def start(self) -> None:
        """Start the relay process."""
        self._starts += 1
        self._process = self._fleet.start(
            f"{self.name}-{self._starts}", "relay", "run", self._path
        )

    def exceeds_memory(self) -> bool:
        """Return whether the running process has exceeded its memory."""
        use = ProcessUse(self._process.process.pid)
        return self.is_running() and use.measure_peak_mb() > MEMORY_MB

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the relay process, unless it has ended."""
        if self.is_running():
            self._process.signal(number)

    def is_running(self) -> bool:
        """Return whether the relay process is running."""
        return self._process.process.poll() is None

    def read_logs(self) -> str:
        """Return the output of all relay processes of the host."""
        return "\n".join(
            path.read_text(errors="replace")
            for path in sorted(self._fleet.path.glob(f"{self.name}-*.log"))
        )

    async def is_ready(self) -> bool:
        """Return whether the relay process reports that it is ready."""
        result = await send_request(self._health, "GET", "/readiness", b"")
        return bool(
            result.map(lambda reply: reply.head.status == 200).value_or(False)
        )

    async def run(self) -> None:
        """Run the proxy, the server, its heartbeats and the callers."""
        async with curio.TaskGroup() as group:
            await group.spawn(self.proxy.run)
            await group.spawn(self._server.run)
            await group.spawn(self._send_heartbeats)
            for number in range(_CALLERS):
                user = ConnectionUser(self._context, f"c{number}", self._rng)
                await group.spawn(user.run_one_at_a_time)
            for number in range(_CHANGING_CALLERS):
                user = ConnectionUser(self._context, f"u{number}", self._rng)
                await group.spawn(user.run_in_changing_manners)
            for number in range(_LONG_TAIL_CALLERS):
                user = ConnectionUser(self._context, f"t{number}", self._rng)
                await group.spawn(user.run_long_tails)
            user = ConnectionUser(self._context, "r", self._rng)
            await group.spawn(user.run_changing_routes)
            if self._untrusted:
                rng = random.Random(f"untrusted-{self.name}")
                await group.spawn(run_untrusted, self._context.clients, rng)

    async def _answer(self, exchange: ServerExchange) -> bool:
        """Answer one request as the scripted server."""
        request = RequestId(exchange.head.find(headers.REQUEST_ID) or "")
        run = ServerRun(request, self.server_id, read_clock(), self._service)
        if request.startswith(UNREAD_PREFIX):
            return await self._answer_untrusted(exchange)
        self._records.arrivals.append(run)
        limit, leaving = self.limit, self.leaving
        try:
            answered = await self._run_request(exchange, run)
            run.broke_off = not answered
        except CallerDisconnectedError:
            run.abandoned = True
            raise
        finally:
            run.ended = read_clock()
        # An answer may be written after its server has taken the limit back.
        if limit is not None and limit == self.limit:
            self._record_signal(limit, run)
        if leaving:
            self._record_signal(None, run)
        return answered

    async def _answer_untrusted(self, exchange: ServerExchange) -> bool:
        """Answer a request that the callers' records don't contain."""
        name = exchange.head.find(headers.REQUEST_ID) or ""
        fields = (
            headers.REQUEST_ID + b": " + name.encode(),
            headers.SIGNATURE + b": s",
        )
        return await answer(PADDING * UNREAD_BYTES, 200, *fields)(exchange)

    async def _run_request(
        self, exchange: ServerExchange, run: ServerRun
    ) -> bool:
        name = headers.REQUEST_ID + b": " + run.request.encode()
        signals = self._list_signal_headers()
        if self._rng.random() < _SHED_SHARE:
            refusal = answer(b"", 503, name, headers.NOT_RUN + b": 1", *signals)
            return await refusal(exchange)
        self._records.runs.append(run)
        bad = self.bad_answers and self._rng.random() < _BAD_ANSWER_SHARE
        if bad and not await self._write_bad_answer(exchange):
            return False
        server_headers = (name, headers.SIGNATURE + b": s", *signals)
        failure_share = _GRAY_SHARE if self.gray else _ERROR_SHARE
        if self._rng.random() < failure_share:
            return await answer(b"", 500, *server_headers)(exchange)
        body = f"{run.request} {run.server}".encode()
        self._last_answer = answer(body, 200, *server_headers)
        service_time = self._rng.expovariate(1 / _MEAN_SERVICE_TIME)
        prefix, _, value = exchange.head.target.rpartition("/")
        if prefix + "/" == LARGE_PATH:
            body = body.ljust(int(value), PADDING)
        elif prefix + "/" in (LONG_PATH, LONG_ORDERS_PATH, TAIL_PATH):
            service_time = float(value)
        limit = int(exchange.head.find(headers.DEADLINE) or 0) / 1000
        if limit and service_time > limit:
            run.abandoned = True
            return await answer(b"", 504, *server_headers, after=limit)(
                exchange
            )
        return await answer(body, 200, *server_headers, after=service_time)(
            exchange
        )

    def _list_signal_headers(self) -> list[bytes]:
        signals = []
        if self.limit is not None:
            signals.append(headers.SERVER_LIMIT + b": %.1f" % self.limit)
        if self.leaving:
            signals.append(headers.SERVER_LEAVING + b": 1")
        return signals

    def _record_signal(self, limit: float | None, run: ServerRun) -> None:
        """Record the first answer of a server with a signal."""
        if not any(
            known.server == run.server and known.limit == limit
            for known in self.signals
        ):
            self.signals.append(
                ServerSignal(run.server, self.name, run.ended, limit=limit)
            )

    async def limit_server(self, limit: float, duration: float) -> None:
        """Let the server name a limit, unless it names one already."""
        if self.limit is not None:
            return
        self.limit = limit
        await curio.sleep(duration)
        self.limit = None
        for known in self.signals:
            if known.limit == limit:
                known.ended = read_clock()

    async def _write_bad_answer(self, exchange: ServerExchange) -> bool:
        """Write bytes that are no answer to the request, which has run.

        Returns
        -------
        bool
            Whether the answer to the request follows.
        """
        refusal = answer(b"", 503, headers.NOT_RUN + b": 1")
        copy = self._rng.choice([self._last_answer, refusal, None])
        if copy is not None:
            return await copy(exchange)
        await exchange.read_body()
        start, part = self._rng.choice(
            [
                (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
                (
                    b"HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n",
                    b"1\r\nx\r\n" * 50,
                ),
                (b"HTTP/1.1 200 X\r\nx-filler: ", b"x" * 1000),
            ]
        )
        await exchange.send(start)
        for _ in range(_ENDLESS_LIMIT):
            await exchange.send(part)
            await curio.sleep(_ENDLESS_INTERVAL)
        return False

    async def _send_heartbeats(self) -> None:
        sequence = 0
        while True:
            await curio.sleep(_HEARTBEAT_INTERVAL)
            if self._withdrawn:
                continue
            sequence += 1
            state = "draining" if self._draining else "ready"
            if await self._announce(sequence, state) and self._draining:
                self._records.departures.setdefault(
                    self.server_id, read_clock()
                )

    async def _announce(self, sequence: int, state: str) -> bool:
        """Send one heartbeat; return whether it was acknowledged."""
        fields = build_heartbeat_body(
            address=str(self._server.address),
            born=self._born,
            info={
                "service": self._service,
                "version": "v1",
                "zone": self._domain,
                "slots": _SLOTS,
            },
            status={"state": state, "sequence": sequence},
        )
        result = await send_request(
            self._heartbeats,
            "PUT",
            f"/instances/{self.server_id}",
            json.dumps(fields).encode(),
        )
        return bool(
            result.map(lambda reply: reply.head.status == 200).value_or(False)
        )

    async def replace_server(self) -> None:
        """Drain the server and replace it by a new one."""
        await self.withdraw_server()
        self.add_server()

    async def withdraw_server(self) -> None:
        """Drain the server and let it leave."""
        self._draining = True
        while self.server_id not in self._records.departures:
            await curio.sleep(_HEARTBEAT_INTERVAL)
        await curio.sleep(_DRAIN_LINGER)
        self._withdrawn = True
        await self._send_departure()

    async def replace_leaving_server(self, duration: float) -> None:
        """Let the server say in its answers that it leaves, and replace it."""
        self.leaving = True
        await curio.sleep(duration)
        await self._send_departure()
        self.add_server()

    def add_server(self) -> None:
        """Replace the server by a new one."""
        self._born = Incarnation(self._born + 1_000)
        self._draining = self._withdrawn = self.leaving = False

    async def _send_departure(self) -> None:
        await send_request(
            self._heartbeats, "DELETE", f"/instances/{self.server_id}", b""
        )
