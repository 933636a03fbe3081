"""Records the traces that the tests of detection replay.

Run ``python -m benchmarks._detection_traces DIRECTORY`` to add the traces that
are missing from the directory. Empty the directory first when the trace
messages have changed.
"""

import dataclasses
import pathlib
import sys

from benchmarks._detection_cases import TWO_NODES, Fault, Size
from benchmarks._detection_model import OWN_REGION, FakeNode, Model
from benchmarks._detection_routed import RoutedModel
from egretlever.core import Attempt, NodeId, RegionName, Seconds, ServerId
from egretlever.detection import (
    EvidenceReport,
    GrayDetector,
    PooledEvidence,
    Sender,
    encode_pooled,
    encode_report,
    write_trace,
)
from egretlever.schema import traces_pb2

_SIZE = Size("trace", 4, 6, 3, 4, 20.0)


class RecordingDetector(GrayDetector):
    """Detector that records its inputs."""

    def __init__(self, node: NodeId, region: RegionName) -> None:
        super().__init__(node, region)
        self.lines: list[traces_pb2.TraceLine] = []

    def observe(self, attempt: Attempt, now: Seconds) -> None:
        """Record and observe an attempt."""
        entry = traces_pb2.TraceAttempt(
            server=attempt.server,
            server_incarnation=attempt.incarnation,
            result=attempt.result.value,
            latency_s=round(attempt.latency, 5),
            fresh_connection=attempt.fresh_connection,
        )
        self.lines.append(traces_pb2.TraceLine(at_s=now, attempt=entry))
        super().observe(attempt, now)

    def observe_probe(
        self, server_id: ServerId, passed: bool, now: Seconds
    ) -> None:
        """Record and observe a probe."""
        entry = traces_pb2.TraceProbe(server=server_id, passed=passed)
        self.lines.append(traces_pb2.TraceLine(at_s=now, probe=entry))
        super().observe_probe(server_id, passed, now)

    def observe_pause(self, duration: Seconds, now: Seconds) -> None:
        """Record and observe a pause."""
        self.lines.append(traces_pb2.TraceLine(at_s=now, pause_s=duration))
        super().observe_pause(duration, now)

    def receive(
        self, pooled: PooledEvidence, sender: Sender, now: Seconds
    ) -> None:
        """Record and receive pooled evidence."""
        entry = encode_pooled(pooled, sender)
        self.lines.append(traces_pb2.TraceLine(at_s=now, pooled=entry))
        super().receive(pooled, sender, now)

    def receive_report(
        self, report: EvidenceReport, sender: Sender, now: Seconds
    ) -> None:
        """Record and receive a report."""
        entry = encode_report(report, sender)
        self.lines.append(traces_pb2.TraceLine(at_s=now, report=entry))
        super().receive_report(report, sender, now)


@dataclasses.dataclass(frozen=True, slots=True)
class TraceCase:
    """Case of which a trace is recorded.

    Parameters
    ----------
    name : str
        Name of the file, without its suffix.
    fault : Fault
        Fault that begins after the warm-up.
    size : Size
        Size of the service.
    routed : bool, default=False
        Whether the nodes choose servers with the router.
    warm_up : float, default=3.0
        Seconds before the fault.
    observation_time : float, default=1.5
        Longest time after the fault, in seconds. The recording ends 0.5 s
        after the node ejects a server.
    """

    name: str
    fault: Fault
    size: Size = _SIZE
    routed: bool = False
    warm_up: float = 3.0
    observation_time: float = 1.5


# Recordings of partial faults last at most 10 s, the 99th percentile of the
# target for their detection.
CASES = (
    TraceCase("black_hole", Fault.BLACK_HOLE),
    TraceCase("refused", Fault.REFUSED),
    TraceCase("5x_slow", Fault.SLOW),
    TraceCase("flood", Fault.FLOOD),
    TraceCase("paused_node", Fault.PAUSED_NODE),
    TraceCase("lost_link", Fault.LOST_LINK),
    TraceCase("one_way", Fault.ONE_WAY_PART, observation_time=3.0),
    TraceCase("lying_health", Fault.LYING, observation_time=10.0),
    TraceCase("flapping", Fault.FLAPPING),
    TraceCase("two_nodes_10x_slow", Fault.VERY_SLOW, TWO_NODES, True, 3.0, 10),
    TraceCase("two_nodes_errors", Fault.ERRORS, TWO_NODES, True, 3.0, 10),
    TraceCase("two_nodes_flood", Fault.FLOOD, TWO_NODES, True, 3.0, 6.0),
)


def record_trace(case: TraceCase, seed: int) -> list[traces_pb2.TraceLine]:
    """Record one node during a fault.

    The expected outcome is derived from the fault, not from the detector.
    """
    fault = case.fault
    if case.routed:
        model: Model = RoutedModel(case.size, seed, RecordingDetector)
    else:
        remote_share = 0.3 if fault is Fault.LOST_LINK else 0.0
        model = Model(case.size, seed, RecordingDetector, 0.005, remote_share)
    model.run_until(case.warm_up)
    model.fault = fault
    model.fault_at = model.now
    if fault is Fault.PAUSED_NODE:
        model.pause(model.nodes[0], 1.0)
    faulty = fault not in (Fault.FLOOD, Fault.PAUSED_NODE, Fault.LOST_LINK)
    node = model.nodes[0]
    _run(model, node, model.now + case.observation_time)
    detector = node.detector
    assert isinstance(detector, RecordingDetector)
    start = traces_pb2.TraceStart(
        node=node.id,
        region=OWN_REGION,
        members=[node.id for node in model.nodes],
        floor_slots=model.floor,
        servers=[
            traces_pb2.TraceServer(
                server=server.id,
                service=server.service,
                region=server.region,
                slots=server.slots,
                incarnation=server.incarnation,
            )
            for server in model.servers
        ],
    )
    outcome = traces_pb2.TraceOutcome(
        ejected=[model.faulty_server] if faulty else []
    )
    return [
        traces_pb2.TraceLine(at_s=0.0, start=start),
        *detector.lines,
        traces_pb2.TraceLine(at_s=model.now, outcome=outcome),
    ]


def _run(model: Model, node: FakeNode, end: float) -> None:
    """Run until the end, or until 0.5 s after the node ejects a server."""
    while model.now < end:
        model.run_until(min(end, model.now + 0.1))
        now = Seconds(model.now)
        if node.detector.select(model.servers, model.floor, now).ejected:
            model.run_until(min(end, model.now + 0.5))
            return


def main(directory: pathlib.Path) -> None:
    """Record the traces that are missing from the directory."""
    for case in CASES:
        path = directory / f"{case.name}.jsonl"
        if not path.exists():
            write_trace(path, record_trace(case, 1))


if __name__ == "__main__":
    main(pathlib.Path(sys.argv[1]))
