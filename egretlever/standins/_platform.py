"""Simulated table service and object store of the platform."""

import dataclasses
import random
import urllib.parse

import curio
from google.protobuf import message

from egretlever.core import Seconds, Version, make_log
from egretlever.platform import Row
from egretlever.schema import platform_pb2
from egretlever.standins._table_state import TableState

_LOG = make_log("platform")
_NO_LATENCY = Seconds(0.0)
_MAX_SCAN_ROWS = 1000
_MAX_KEY_BYTES = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformAnswer:
    """Response of the stand-in to one request.

    Parameters
    ----------
    status : int
        HTTP status.
    body : bytes
        Response body.
    fault : int
        ``AnswerFault`` to apply while the response is sent.
    """

    status: int
    body: bytes = b""
    fault: int = platform_pb2.WHOLE


_UNAVAILABLE = PlatformAnswer(503, b"the stores are away")


class PlatformStandIn:
    """Both stores in memory, with fault injection.

    Parameters
    ----------
    latency : Seconds
        Delay of each response.
    randomness : random.Random
        Chooses the writes whose response is lost.
    """

    def __init__(self, latency: Seconds, randomness: random.Random) -> None:
        self.faults = platform_pb2.StandInFaults(latency_s=latency)
        self._randomness = randomness
        self._table = TableState()
        self._objects: dict[str, bytes] = {}

    async def answer(
        self, method: str, target: str, body: bytes
    ) -> PlatformAnswer:
        """Process one request.

        Parameters
        ----------
        method : str
            HTTP method.
        target : str
            Request target.
        body : bytes
            Request body.

        Returns
        -------
        PlatformAnswer
            The response, and the fault to apply while it is sent.
        """
        if target == "/admin/faults":
            return self._handle_faults(method, body)
        if self.faults.latency_s > 0:
            await curio.sleep(self.faults.latency_s)
        if self.faults.away:
            return _UNAVAILABLE
        try:
            answer = self._serve(method, target, body)
        except (message.DecodeError, ValueError) as error:
            return PlatformAnswer(400, str(error).encode())
        is_write = method == "PUT" or target == "/table/write"
        if is_write and self._randomness.random() < self.faults.lost_answers:
            return dataclasses.replace(answer, fault=platform_pb2.CUT)
        return dataclasses.replace(answer, fault=self.faults.answer)

    def _handle_faults(self, method: str, body: bytes) -> PlatformAnswer:
        if method == "POST":
            try:
                faults = platform_pb2.StandInFaults.FromString(body)
            except message.DecodeError as error:
                return PlatformAnswer(400, str(error).encode())
            self.faults = faults
            _LOG.info(
                "injected faults set to: %s", str(faults).replace("\n", ", ")
            )
        return PlatformAnswer(200, self.faults.SerializeToString())

    def _serve(self, method: str, target: str, body: bytes) -> PlatformAnswer:
        if target.startswith("/objects/"):
            return self._serve_object(method, target, body)
        if method != "POST":
            return PlatformAnswer(405)
        if target == "/table/read":
            read = platform_pb2.ReadRequest.FromString(body)
            rows = self._table.read(read.keys, self.faults.stale_writes)
            return _make_rows_answer(rows)
        if target == "/table/scan":
            scan = platform_pb2.ScanRequest.FromString(body)
            rows = self._table.scan(
                scan.prefix,
                min(scan.limit, _MAX_SCAN_ROWS),
                scan.after,
                self.faults.stale_writes,
            )
            return _make_rows_answer(rows)
        if target == "/table/write":
            return self._write(platform_pb2.WriteRequest.FromString(body))
        return PlatformAnswer(404)

    def _write(self, request: platform_pb2.WriteRequest) -> PlatformAnswer:
        for row in request.rows:
            if not row.key or len(row.key.encode()) > _MAX_KEY_BYTES:
                raise ValueError("a key is empty or too long")
        conflicts = self._table.write(
            {row.key: row.value for row in request.rows},
            {
                condition.key: Version(condition.version)
                for condition in request.conditions
            },
        )
        reply = platform_pb2.WriteReply(
            committed=not conflicts,
            conflicts=[_encode_row(row) for row in conflicts],
        )
        return PlatformAnswer(200, reply.SerializeToString())

    def _serve_object(
        self, method: str, target: str, body: bytes
    ) -> PlatformAnswer:
        name = urllib.parse.unquote(target.removeprefix("/objects/"))
        if method == "PUT":
            self._objects[name] = body
            return PlatformAnswer(204)
        if method != "GET":
            return PlatformAnswer(405)
        if name not in self._objects:
            return PlatformAnswer(404)
        return PlatformAnswer(200, self._objects[name])


def _encode_row(row: Row) -> platform_pb2.Row:
    return platform_pb2.Row(key=row.key, value=row.value, version=row.version)


def _make_rows_answer(rows: list[Row]) -> PlatformAnswer:
    reply = platform_pb2.RowsReply(rows=[_encode_row(row) for row in rows])
    return PlatformAnswer(200, reply.SerializeToString())


def make_platform_stand_in(
    latency: Seconds = _NO_LATENCY, randomness: random.Random | None = None
) -> PlatformStandIn:
    """Make a stand-in of both stores without rows or objects.

    Parameters
    ----------
    latency : Seconds, default=0
        Delay of each response.
    randomness : random.Random, optional
        Chooses the writes whose response is lost; seeded with 1 when absent.

    Returns
    -------
    PlatformStandIn
        The stand-in, not yet listening.
    """
    return PlatformStandIn(latency, randomness or random.Random(1))
