"""Hosts of a relay soak run: a relay process, its server and its callers."""

import json
import random
import signal

import curio

from benchmarks._relay_soak_network import FaultyProxy, SoakStore
from benchmarks._relay_soak_records import Records, SentRequest, ServerRun
from egretlever.core import (
    Incarnation,
    RequestId,
    Seconds,
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
from egretlever.transport import (
    BackendClosedError,
    BackendConnection,
    BackendProtocolError,
    ConnectError,
    RequestHead,
    open_connection,
    read_body,
    read_clock,
    send_request,
)

SERVICE = "ordering"
SLOTS = 3
_HEARTBEAT_INTERVAL = 0.5  # seconds
_MEAN_SERVICE_TIME = 0.05  # seconds
_GRAY_SHARE = 0.85  # of requests that a gray server fails immediately
_ERROR_SHARE = 0.02  # of requests that a healthy server fails
_SHED_SHARE = 0.03  # of requests that any server sheds
_BAD_ANSWER_SHARE = 0.3  # of the answers of a server that writes bad ones
_ENDLESS_LIMIT = 2000  # writes after which an endless answer is broken off
_ENDLESS_INTERVAL = 0.002  # seconds between two of its writes
_DRAIN_LINGER = 3.0  # seconds of serving after the node knows of the drain
_MEAN_CALL_INTERVAL = 0.08  # seconds between two requests of a caller
_DEADLINE_MS = 3000
_NON_IDEMPOTENT_SHARE = 0.6
_CONNECT_TIMEOUT = Seconds(1.0)
_MAX_ANSWER_BYTES = 1 << 20
_ANSWER_TIMEOUT = 10.0  # seconds; far above the deadline of every request
_FIRST_BORN_MS = 1_700_000_000_000


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
    number : int
        Number of the host.
    rng : random.Random
        Source of service times, failures and call intervals.

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
    """

    def __init__(
        self,
        fleet: Fleet,
        store: SoakStore,
        records: Records,
        number: int,
        rng: random.Random,
    ) -> None:
        self.name = f"host-{number}"
        self.gray = False
        self.bad_answers = False
        self._last_answer: Step | None = None
        self._fleet = fleet
        self._store = store
        self._records = records
        self._rng = rng
        self._domain = f"domain-{number % 2}"
        addresses = reserve_addresses(5)
        self._clients, self._health, self._heartbeats, relay, metrics = (
            addresses
        )
        self.proxy = FaultyProxy(relay)
        store.proxies[str(relay)] = self.proxy
        self._path = fleet.write_settings(
            self.name,
            {
                "identity": {
                    "node": self.name,
                    "failure_domain": self._domain,
                    "region": "north",
                    "service": SERVICE,
                    "regions": "domain-0:north, domain-1:north",
                },
                "listen": {
                    "clients": self._clients,
                    "health": self._health,
                    "announcements": self._heartbeats,
                    "ip": relay.ip,
                    "relay_port": relay.port,
                    "metrics_port": metrics.port,
                },
                "store": {"address": store.address},
                "bounds": {"heartbeat": "500ms", "platform": "grace=6s"},
            },
        )
        self._starts = 0
        self._born = _FIRST_BORN_MS + number
        self._server = ScriptedServer(self._answer)
        self._draining = False
        self._requests = 0
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
        """Run the proxy, the server, its heartbeats and three callers."""
        async with curio.TaskGroup() as group:
            await group.spawn(self.proxy.run)
            await group.spawn(self._server.run)
            await group.spawn(self._send_heartbeats)
            for caller in range(3):
                await group.spawn(self._run_caller, caller)

    async def _answer(self, exchange: ServerExchange) -> bool:
        """Answer one request as the scripted server."""
        request = RequestId(exchange.head.find(headers.REQUEST_ID) or "")
        name = headers.REQUEST_ID + b": " + request.encode()
        if self._rng.random() < _SHED_SHARE:
            refusal = answer(b"", 503, name, headers.NOT_RUN + b": 1")
            return await refusal(exchange)
        run = ServerRun(request, self.server_id, read_clock())
        self._records.runs.append(run)
        bad = self.bad_answers and self._rng.random() < _BAD_ANSWER_SHARE
        if bad and not await self._write_bad_answer(exchange):
            return False
        server_headers = (name, headers.SIGNATURE + b": s")
        failure_share = _GRAY_SHARE if self.gray else _ERROR_SHARE
        if self._rng.random() < failure_share:
            return await answer(b"", 500, *server_headers)(exchange)
        body = f"{request} {run.server}".encode()
        self._last_answer = answer(body, 200, *server_headers)
        service_time = self._rng.expovariate(1 / _MEAN_SERVICE_TIME)
        return await answer(body, 200, *server_headers, after=service_time)(
            exchange
        )

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
            sequence += 1
            state = "draining" if self._draining else "ready"
            if await self._announce(sequence, state) and self._draining:
                self._records.departures.setdefault(
                    self.server_id, read_clock()
                )
            await curio.sleep(_HEARTBEAT_INTERVAL)

    async def _announce(self, sequence: int, state: str) -> bool:
        """Send one heartbeat; return whether it was acknowledged."""
        fields = build_heartbeat_body(
            address=str(self._server.address),
            born=self._born,
            info={
                "service": SERVICE,
                "version": "v1",
                "zone": self._domain,
                "slots": SLOTS,
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
        self._draining = True
        while self.server_id not in self._records.departures:
            await curio.sleep(_HEARTBEAT_INTERVAL)
        await curio.sleep(_DRAIN_LINGER)
        await send_request(
            self._heartbeats, "DELETE", f"/instances/{self.server_id}", b""
        )
        self._born = Incarnation(self._born + 1_000)
        self._draining = False

    async def _run_caller(self, caller: int) -> None:
        """Send requests one after another, reusing the connection."""
        while True:
            try:
                sock = await open_connection(self._clients, _CONNECT_TIMEOUT)
            except ConnectError:
                await curio.sleep(_MEAN_CALL_INTERVAL)
                continue
            connection = BackendConnection(sock)
            reused = False
            try:
                while await self._send_request(connection, caller, reused):
                    reused = True
                    await curio.sleep(
                        self._rng.expovariate(1 / _MEAN_CALL_INTERVAL)
                    )
            finally:
                await connection.close()

    async def _send_request(
        self, connection: BackendConnection, caller: int, reused: bool
    ) -> bool:
        """Send one request; return whether its connection can be reused."""
        self._requests += 1
        request = RequestId(f"{self.name}-{caller}-{self._requests}")
        self._records.started.add(request)
        idempotent = self._rng.random() > _NON_IDEMPOTENT_SHARE
        method, prefix = ("GET", "reads") if idempotent else ("POST", "orders")
        fields = [
            (b"host", b"shop.example"),
            (headers.REQUEST_ID, request.encode()),
            (headers.DEADLINE, b"%d" % _DEADLINE_MS),
            (b"content-length", b"0"),
        ]
        begun = read_clock()
        status, body, signed = 0, b"", False
        try:
            async with curio.timeout_after(_ANSWER_TIMEOUT):
                await connection.send_request(
                    RequestHead(method, f"/{prefix}/1", fields), b""
                )
                response = await connection.read_response()
                body = await read_body(connection, _MAX_ANSWER_BYTES)
            status = response.status
            signed = response.find(headers.SIGNATURE) is not None
        except (BackendClosedError, BackendProtocolError, curio.TaskTimeout):
            # The request is recorded with status 0, without an answer.
            status = 0
        self._records.sent.append(
            SentRequest(
                request,
                self.name,
                idempotent,
                reused,
                begun,
                read_clock(),
                status,
                body,
                signed,
            )
        )
        return status != 0 and connection.prepare_next()
