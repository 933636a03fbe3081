"""Records the traces that are replayed by the tests of detection.

Run ``python -m benchmarks._detection_traces DIRECTORY`` after a change of the
trace messages, with the directory emptied, or to add the traces that it lacks.
"""

import dataclasses
import pathlib
import sys

from benchmarks._detection_cases import TWO_NODES, Fault, Size
from benchmarks._detection_model import OWN, FakeNode, Model
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
    """Detector that writes down what it takes in."""

    def __init__(self, node: NodeId, region: RegionName) -> None:
        super().__init__(node, region)
        self.lines: list[traces_pb2.TraceLine] = []

    def observe(self, attempt: Attempt, now: Seconds) -> None:
        """Record and take in an attempt."""
        item = traces_pb2.TraceAttempt(
            server=attempt.server,
            server_incarnation=attempt.incarnation,
            result=attempt.result.value,
            latency_s=round(attempt.latency, 5),
            fresh_connection=attempt.fresh_connection,
        )
        self.lines.append(traces_pb2.TraceLine(at_s=now, attempt=item))
        super().observe(attempt, now)

    def observe_probe(
        self, server_id: ServerId, passed: bool, now: Seconds
    ) -> None:
        """Record and take in a probe."""
        item = traces_pb2.TraceProbe(server=server_id, passed=passed)
        self.lines.append(traces_pb2.TraceLine(at_s=now, probe=item))
        super().observe_probe(server_id, passed, now)

    def observe_pause(self, duration: Seconds, now: Seconds) -> None:
        """Record and take in a pause."""
        self.lines.append(traces_pb2.TraceLine(at_s=now, pause_s=duration))
        super().observe_pause(duration, now)

    def receive(
        self, pooled: PooledEvidence, sender: Sender, now: Seconds
    ) -> None:
        """Record and take in pooled evidence."""
        item = encode_pooled(pooled, sender)
        self.lines.append(traces_pb2.TraceLine(at_s=now, pooled=item))
        super().receive(pooled, sender, now)

    def receive_report(
        self, report: EvidenceReport, sender: Sender, now: Seconds
    ) -> None:
        """Record and take in a report."""
        item = encode_report(report, sender)
        self.lines.append(traces_pb2.TraceLine(at_s=now, report=item))
        super().receive_report(report, sender, now)


@dataclasses.dataclass(frozen=True, slots=True)
class TraceCase:
    """What a trace is recorded of.

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
    watch : float, default=1.5
        Longest time after the fault, in seconds. A recording of a faulty
        server ends sooner, 0.5 s after the ejection.
    """

    name: str
    fault: Fault
    size: Size = _SIZE
    routed: bool = False
    warm_up: float = 3.0
    watch: float = 1.5


# The 99th percentile of the target for partial faults bounds their recording.
CASES = (
    TraceCase("black_hole", Fault.BLACK_HOLE),
    TraceCase("refused", Fault.REFUSED),
    TraceCase("5x_slow", Fault.SLOW),
    TraceCase("flood", Fault.FLOOD),
    TraceCase("paused_node", Fault.PAUSED_NODE),
    TraceCase("lost_link", Fault.LOST_LINK),
    TraceCase("one_way", Fault.ONE_WAY_PART, watch=3.0),
    TraceCase("lying_health", Fault.LYING, watch=10.0),
    TraceCase("flapping", Fault.FLAPPING),
    TraceCase("two_nodes_10x_slow", Fault.VERY_SLOW, TWO_NODES, True, 3.0, 10),
    TraceCase("two_nodes_errors", Fault.ERRORS, TWO_NODES, True, 3.0, 10),
    TraceCase("two_nodes_flood", Fault.FLOOD, TWO_NODES, True, 3.0, 6.0),
)


def record_trace(case: TraceCase, seed: int) -> list[traces_pb2.TraceLine]:
    """Record one node through a fault.

    The stated outcome follows from the fault, not from the detector.
    """
    fault = case.fault
    if case.routed:
        model: Model = RoutedModel(case.size, seed, RecordingDetector)
    else:
        share = 0.3 if fault is Fault.LOST_LINK else 0.0
        model = Model(case.size, seed, RecordingDetector, 0.005, share)
    model.run_until(case.warm_up)
    model.fault = fault
    model.fault_at = model.now
    if fault is Fault.PAUSED_NODE:
        model.pause(model.nodes[0], 1.0)
    faulty = fault not in (Fault.FLOOD, Fault.PAUSED_NODE, Fault.LOST_LINK)
    node = model.nodes[0]
    _run(model, node, model.now + case.watch)
    detector = node.detector
    assert isinstance(detector, RecordingDetector)
    start = traces_pb2.TraceStart(
        node=node.id,
        region=OWN,
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
    outcome = traces_pb2.TraceOutcome(ejected=[model.victim] if faulty else [])
    return [
        traces_pb2.TraceLine(at_s=0.0, start=start),
        *detector.lines,
        traces_pb2.TraceLine(at_s=model.now, outcome=outcome),
    ]


def _run(model: Model, node: FakeNode, end: float) -> None:
    """Run to the end, or until shortly after the node ejects a server."""
    while model.now < end:
        model.run_until(min(end, model.now + 0.1))
        now = Seconds(model.now)
        if node.detector.select(model.servers, model.floor, now).ejected:
            model.run_until(min(end, model.now + 0.5))
            return


def main(directory: pathlib.Path) -> None:
    """Record the traces that the directory does not have yet."""
    for case in CASES:
        path = directory / f"{case.name}.jsonl"
        if not path.exists():
            write_trace(path, record_trace(case, 1))


if __name__ == "__main__":
    main(pathlib.Path(sys.argv[1]))
