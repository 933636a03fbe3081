"""Reading, writing and replay of recorded detector inputs."""

import dataclasses
import pathlib
from collections.abc import Iterable, Iterator

from google.protobuf import json_format

from egretlever.core import (
    Address,
    Attempt,
    AttemptResult,
    FailureDomain,
    HostName,
    Incarnation,
    NodeId,
    RegionName,
    Seconds,
    Server,
    ServerId,
    ServerState,
    ServiceName,
)
from egretlever.detection._detector import make_detector
from egretlever.detection._messages import decode_pooled, decode_report
from egretlever.detection._types import DetectorAction, Member, Selection
from egretlever.schema import traces_pb2

_ADVANCE_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """Result of a replayed trace.

    Parameters
    ----------
    stated : TraceOutcome
        Outcome that the trace states.
    selection : Selection
        Selection of the detector at the end.
    actions : tuple of DetectorAction
        All actions that the detector returned.
    """

    stated: traces_pb2.TraceOutcome
    selection: Selection
    actions: tuple[DetectorAction, ...]


def read_trace(path: pathlib.Path) -> Iterator[traces_pb2.TraceLine]:
    """Read the lines of a trace file."""
    for line in path.read_text(encoding="utf-8").splitlines():
        yield json_format.Parse(line, traces_pb2.TraceLine())


def write_trace(
    path: pathlib.Path, lines: Iterable[traces_pb2.TraceLine]
) -> None:
    """Write a trace file."""
    text = [
        json_format.MessageToJson(
            line, indent=None, preserving_proto_field_name=True
        )
        for line in lines
    ]
    path.write_text("\n".join(text) + "\n", encoding="utf-8")


def replay_trace(lines: Iterable[traces_pb2.TraceLine]) -> Replay:
    """Replay a trace with a new detector.

    Parameters
    ----------
    lines : iterable of TraceLine
        A start line, events, and an outcome line.

    Returns
    -------
    Replay
        The stated outcome and the decisions of the detector.
    """
    replayer = _TraceReplayer(iter(lines))
    return replayer.run()


class _TraceReplayer:
    def __init__(self, lines: Iterator[traces_pb2.TraceLine]) -> None:
        self._lines = lines
        first = next(lines)
        start = first.start
        region = RegionName(start.region)
        self._now = Seconds(first.at_s)
        self._servers = [_build_server(item) for item in start.servers]
        self._by_id = {server.id: server for server in self._servers}
        self._floor_slots = start.floor_slots
        self._actions: list[DetectorAction] = []
        self._detector = make_detector(NodeId(start.node), region)
        self._detector.update_servers(self._servers, self._now)
        members = [Member(NodeId(name), region) for name in start.members]
        self._detector.update_members(members, self._now)

    def run(self) -> Replay:
        for line in self._lines:
            self._advance_to(line.at_s)
            if line.WhichOneof("event") == "outcome":
                selection = self._select()
                return Replay(line.outcome, selection, tuple(self._actions))
            self._feed(line)
            self._actions += self._detector.advance(self._now)
        raise ValueError("trace has no outcome line")

    def _advance_to(self, at: float) -> None:
        while self._now + _ADVANCE_INTERVAL_S < at:
            self._now = Seconds(self._now + _ADVANCE_INTERVAL_S)
            self._actions += self._detector.advance(self._now)
            self._select()
        self._now = Seconds(at)

    def _select(self) -> Selection:
        return self._detector.select(
            self._servers, self._floor_slots, self._now
        )

    def _feed(self, line: traces_pb2.TraceLine) -> None:
        now = self._now
        event = line.WhichOneof("event")
        if event == "attempt":
            self._detector.observe(self._build_attempt(line.attempt), now)
        elif event == "pooled":
            self._detector.receive(*decode_pooled(line.pooled), now)
        elif event == "report":
            self._detector.receive_report(*decode_report(line.report), now)
        elif event == "probe":
            server = ServerId(line.probe.server)
            self._detector.observe_probe(server, line.probe.passed, now)
        elif event == "pause_s":
            self._detector.observe_pause(Seconds(line.pause_s), now)

    def _build_attempt(self, item: traces_pb2.TraceAttempt) -> Attempt:
        server = self._by_id[ServerId(item.server)]
        return Attempt(
            server.id,
            Incarnation(item.server_incarnation),
            server.service,
            AttemptResult(item.result),
            Seconds(item.latency_s),
            fresh_connection=item.fresh_connection,
        )


def _build_server(item: traces_pb2.TraceServer) -> Server:
    return Server(
        ServerId(item.server),
        ServiceName(item.service),
        Address("127.0.0.1", 1),
        HostName(item.server),
        NodeId(item.server),
        FailureDomain(item.region),
        RegionName(item.region),
        item.slots,
        1,
        ServerState.SERVING,
        Incarnation(item.incarnation),
    )
