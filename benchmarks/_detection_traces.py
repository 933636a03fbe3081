"""Records the traces that are replayed by the tests of detection.

Run ``python -m benchmarks._detection_traces DIRECTORY`` after a change of the
trace messages.
"""

import pathlib
import sys

from benchmarks._detection_cases import Fault, Size
from benchmarks._detection_model import OWN, Model
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


def record_trace(fault: Fault, seed: int) -> list[traces_pb2.TraceLine]:
    """Record one node for 4 s of a fault after 3 s without.

    The stated outcome follows from the fault, not from the detector.
    """
    share = 0.3 if fault is Fault.LOST_LINK else 0.0
    model = Model(_SIZE, seed, RecordingDetector, 0.005, share)
    model.run_until(3.0)
    model.fault = fault
    model.fault_at = model.now
    if fault is Fault.PAUSED_NODE:
        model.pause(model.nodes[0], 1.0)
    model.run_until(4.5)
    faulty = fault in (Fault.BLACK_HOLE, Fault.REFUSED, Fault.SLOW)
    detector = model.nodes[0].detector
    assert isinstance(detector, RecordingDetector)
    start = traces_pb2.TraceStart(
        node=model.nodes[0].id,
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


def main(directory: pathlib.Path) -> None:
    """Record one trace for each kind of fault."""
    for fault in (
        Fault.BLACK_HOLE,
        Fault.REFUSED,
        Fault.SLOW,
        Fault.FLOOD,
        Fault.PAUSED_NODE,
        Fault.LOST_LINK,
    ):
        name = fault.value.replace(" ", "_")
        write_trace(directory / f"{name}.jsonl", record_trace(fault, 1))


if __name__ == "__main__":
    main(pathlib.Path(sys.argv[1]))
