"""Simulated backend server with slots, cold start, drain and faults."""

import random
import time
from typing import Any

import curio
from google.protobuf import json_format

from egretlever.core import Seconds, ServerState, make_log
from egretlever.schema import gossip_pb2, settings_pb2, standins_pb2
from egretlever.settings import parse_address
from egretlever.standins._answers import (
    AnswerPlan,
    make_answer,
    make_shed_answer,
)
from egretlever.standins._control import make_control_handler
from egretlever.standins._faults import FaultSchedule
from egretlever.transport import (
    CallerConnection,
    CallerDisconnectedError,
    RequestError,
    RequestHead,
    accept_connections,
    headers,
    open_listener,
    read_clock,
    send_request,
    serve_requests,
)

_LOG = make_log("backend")
_POLL_INTERVAL_S = 0.02  # between checks for disconnects or free slots
_COLD_FACTOR = 4.0  # mean service time of a cold server over a warm one's


class BackendStandIn:
    """Backend server that simulates the processing of requests by sleeping.

    Parameters
    ----------
    settings : BackendStandInSection
        Settings of the simulated server.

    Attributes
    ----------
    state : ServerState
        Lifecycle state sent in announcements.
    records : list of BackendRecord
        One for each request that started to run.
    """

    def __init__(self, settings: settings_pb2.BackendStandInSection) -> None:
        self._settings = settings
        self._randomness = random.Random(settings.seed)
        self.faults = FaultSchedule(self._randomness)
        self.state = (
            ServerState.COLD if settings.cold_time_s else ServerState.SERVING
        )
        self.records: list[standins_pb2.BackendRecord] = []
        self._in_progress = 0
        self._connections: set[CallerConnection] = set()
        self._silent_connections: set[CallerConnection] = set()
        self._started_at = read_clock()
        self._incarnation = time.time_ns()
        self._state_changed = curio.Event()
        self._stopped = curio.Event()
        self._previous_body = b""
        self._record_file = (
            open(settings.record_file, "ab", buffering=0)  # noqa: SIM115
            if settings.record_file
            else None
        )

    @property
    def busy(self) -> int:
        """Number of requests in progress."""
        return self._in_progress

    async def run(self) -> None:
        """Serve until a drain is complete."""
        traffic = open_listener(parse_address(self._settings.listen))
        control = open_listener(parse_address(self._settings.control))
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(
                accept_connections,
                traffic,
                self._serve,
                self._settings.connections,
            )
            await tasks.spawn(
                serve_requests, control, make_control_handler(self)
            )
            await tasks.spawn(self._announce_forever)
            await tasks.spawn(self._stopped.wait)
        if tasks.exception:
            raise tasks.exception
        await traffic.close()
        await control.close()

    def silence_connections(self) -> None:
        """Stop responding on the connections that are open now."""
        self._silent_connections = set(self._connections)

    async def drain(self) -> None:
        """Announce the drain, finish the requests in progress, then stop."""
        if self.state is ServerState.DRAINING:
            return
        await self._change_state(ServerState.DRAINING)
        await curio.spawn(self._finish_drain, daemon=True)

    async def _finish_drain(self) -> None:
        await curio.sleep(self._settings.drain_linger_s)
        while self._in_progress:
            await curio.sleep(_POLL_INTERVAL_S)
        await self._change_state(ServerState.STOPPED)
        await self._announce()
        await self._stopped.set()

    async def _change_state(self, state: ServerState) -> None:
        _LOG.info(
            "server %s changed state to %s", self._settings.server, state.value
        )
        self.state = state
        await self._state_changed.set()

    async def _announce_forever(self) -> None:
        while True:
            self._state_changed.clear()
            await self._announce()
            warm_at = self._started_at + self._settings.cold_time_s
            if self.state is ServerState.COLD and read_clock() >= warm_at:
                await self._change_state(ServerState.SERVING)
                continue
            await curio.ignore_after(
                self._settings.announce_interval_s, self._state_changed.wait
            )

    async def _announce(self) -> None:
        address = parse_address(self._settings.listen)
        announcement = gossip_pb2.Announcement(
            server=self._settings.server,
            service=self._settings.service,
            address=gossip_pb2.Endpoint(ip=address.ip, port=address.port),
            state=self.state.name,
            incarnation=self._incarnation,
            slots=self._settings.slots,
            connections=self._settings.connections,
            uptime_s=read_clock() - self._started_at,
        )
        await send_request(
            parse_address(self._settings.node_admin),
            "POST",
            "/announce",
            announcement.SerializeToString(),
            Seconds(0.5),
        )

    async def _serve(self, sock: Any) -> None:
        await curio.sleep(self._settings.connect_cost_s)
        if self.faults.find_active(read_clock()).refuse:
            return
        connection = CallerConnection(sock)
        self._connections.add(connection)
        try:
            while head := await connection.read_request():
                while await connection.read_body():
                    pass
                if not await self._handle_request(connection, head):
                    return
        except (CallerDisconnectedError, RequestError):
            return
        finally:
            self._connections.discard(connection)

    async def _handle_request(
        self, connection: CallerConnection, head: RequestHead
    ) -> bool:
        faults = self.faults.find_active(read_clock())
        if faults.black_hole or connection in self._silent_connections:
            await curio.sleep(3600)
        if head.path == "/health":
            return await self._answer_probe(connection, head, faults)
        if self._in_progress >= self._settings.slots:
            if not faults.queue_instead_of_shed:
                await connection.send_response(*make_shed_answer(head))
                return connection.prepare_next()
            while self._in_progress >= self._settings.slots:
                await curio.sleep(_POLL_INTERVAL_S / 4)
        self._in_progress += 1
        try:
            if not await self._run_request(connection, head, faults):
                return False
        finally:
            self._in_progress -= 1
        if faults.one_way or connection in self._silent_connections:
            await curio.sleep(3600)
        return await self._send_answer(connection, head, faults)

    async def _answer_probe(
        self,
        connection: CallerConnection,
        head: RequestHead,
        faults: standins_pb2.BackendFaults,
    ) -> bool:
        await curio.sleep(self._settings.probe_cost_s)
        failing = not faults.lying_health and (
            faults.error_share > 0.5 or self.state is ServerState.DRAINING
        )
        await connection.send_response(
            *make_answer(
                head, AnswerPlan(status=503 if failing else 200, size=0)
            )
        )
        return connection.prepare_next()

    async def _run_request(
        self,
        connection: CallerConnection,
        head: RequestHead,
        faults: standins_pb2.BackendFaults,
    ) -> bool:
        record = standins_pb2.BackendRecord(
            request_id=head.find(headers.REQUEST_ID) or "",
            order_key=head.find(headers.ORDER_KEY) or "",
            at_unix_s=time.time(),
            during_drain=self.state is ServerState.DRAINING,
        )
        self._add_record(record)
        finish_at = read_clock() + self._draw_service_time(faults)
        while (remaining := finish_at - read_clock()) > 0:
            await curio.sleep(min(remaining, _POLL_INTERVAL_S))
            if remaining > _POLL_INTERVAL_S and connection.is_disconnected():
                return False
        record.completed = True
        return True

    def _add_record(self, record: standins_pb2.BackendRecord) -> None:
        self.records.append(record)
        if self._record_file is not None:
            line = json_format.MessageToJson(record, indent=None)
            # Unbuffered, so that a killed process loses no record.
            self._record_file.write(line.encode() + b"\n")

    def _draw_service_time(self, faults: standins_pb2.BackendFaults) -> float:
        mean = self._settings.service_time_s * (faults.slow_factor or 1.0)
        if self.state is ServerState.COLD:
            mean *= _COLD_FACTOR
        return mean * (0.5 + 0.5 * self._randomness.expovariate(1.0))

    async def _send_answer(
        self,
        connection: CallerConnection,
        head: RequestHead,
        faults: standins_pb2.BackendFaults,
    ) -> bool:
        plan = AnswerPlan(
            status=500 if self.faults.draw(faults.error_share) else 200,
            size=int(head.find(b"x-answer-bytes") or "0"),
            server=self._settings.server,
            draining=self.state is ServerState.DRAINING,
            load=f"{self._in_progress}/{self._settings.slots}",
        )
        response, body = make_answer(head, plan)
        if self.faults.draw(faults.crossed_share) and self._previous_body:
            response.headers = [
                (name, b"crossed" if name == headers.REQUEST_ID else value)
                for name, value in response.headers
                if name != b"content-length"
            ] + [(b"content-length", b"%d" % len(self._previous_body))]
            body = self._previous_body
        self._previous_body = body
        if self.faults.draw(faults.cut_share):
            await connection.send_response(
                response, body[: len(body) // 2], False
            )
            return False
        await connection.send_response(response, body)
        return connection.prepare_next()


def make_backend(
    settings: settings_pb2.BackendStandInSettings,
) -> BackendStandIn:
    """Make a simulated backend server from its settings."""
    return BackendStandIn(settings.backend)
