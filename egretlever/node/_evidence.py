"""Transfers evidence between the detector and gossip, and probes servers."""

from collections.abc import Callable, Sequence
from typing import Any

import curio
from google.protobuf.message import DecodeError

from egretlever.core import Address, NodeId, Seconds, ServerId, make_log
from egretlever.detection import (
    Detector,
    DetectorAction,
    EvidenceReport,
    LogChange,
    PooledEvidence,
    ProbeServer,
    Sender,
    SendPooled,
    SendReport,
    decode_pooled,
    decode_report,
    encode_pooled,
    encode_report,
)
from egretlever.node import _metrics as metrics
from egretlever.schema import evidence_pb2
from egretlever.transport import (
    NO_FAULTS,
    FaultInjector,
    read_clock,
    send_request,
)

_LOG = make_log("detection")
_MAX_PAYLOAD = 900  # bytes that fit into one gossip message
_PROBE_PATH = "/health"
_MIN_ERROR_STATUS = 500

SendPayload = Callable[[Sequence[NodeId], bytes], None]


class EvidenceTransport:
    """Executes the detector's actions and passes received evidence to it.

    Parameters
    ----------
    detector : Detector
        Detects faulty servers.
    sender : Sender
        This node.
    send : callable
        Sends a payload to nodes, possibly this one.
    find_address : callable
        Returns the address of a server, None for an unknown one.
    invalidate : callable
        Called after a server's eligibility may have changed.
    faults : FaultInjector, optional
        Network faults that tests inject into probes.
    """

    def __init__(
        self,
        detector: Detector,
        sender: Sender,
        send: SendPayload,
        find_address: Callable[[ServerId], Address | None],
        invalidate: Callable[[], None],
        faults: FaultInjector = NO_FAULTS,
    ) -> None:
        self._detector = detector
        self._sender = sender
        self._send = send
        self._find_address = find_address
        self._invalidate = invalidate
        self._faults = faults

    def receive(self, sender: NodeId, payload: bytes, now: Seconds) -> None:
        """Process an evidence message received through gossip."""
        try:
            message = evidence_pb2.EvidenceMessage.FromString(payload)
        except DecodeError:
            metrics.DROPPED_MESSAGES.labels("evidence").inc()
            return
        kind = message.WhichOneof("content")
        if kind == "report":
            report, origin = decode_report(message.report)
            if origin.node == sender:
                self._detector.receive_report(report, origin, now)
        elif kind == "pooled":
            pooled, origin = decode_pooled(message.pooled)
            if origin.node == sender:
                self._detector.receive(pooled, origin, now)
                self._invalidate()
        else:
            metrics.DROPPED_MESSAGES.labels("evidence").inc()

    async def run(self, actions: Sequence[DetectorAction]) -> None:
        """Execute actions of the detector."""
        for action in actions:
            if isinstance(action, LogChange):
                _LOG.info("%s.", action)
                self._invalidate()
            elif isinstance(action, SendReport):
                self._send_report(action)
            elif isinstance(action, SendPooled):
                self._send_pooled(action)
            elif isinstance(action, ProbeServer):
                await curio.spawn(self._probe, action, daemon=True)

    def _send_report(self, action: SendReport) -> None:
        def encode(servers: Sequence[Any]) -> evidence_pb2.EvidenceMessage:
            part = EvidenceReport(action.report.service, tuple(servers))
            return evidence_pb2.EvidenceMessage(
                report=encode_report(part, self._sender)
            )

        self._send_in_parts(action.to, action.report.servers, encode)

    def _send_pooled(self, action: SendPooled) -> None:
        def encode(servers: Sequence[Any]) -> evidence_pb2.EvidenceMessage:
            part = PooledEvidence(action.pooled.service, tuple(servers))
            return evidence_pb2.EvidenceMessage(
                pooled=encode_pooled(part, self._sender)
            )

        self._send_in_parts(action.to, action.pooled.servers, encode)

    def _send_in_parts(
        self,
        to: Sequence[NodeId],
        servers: Sequence[Any],
        encode: Callable[[Sequence[Any]], evidence_pb2.EvidenceMessage],
    ) -> None:
        """Split the evidence until each part fits into a datagram."""
        payload = encode(servers).SerializeToString()
        if len(payload) <= _MAX_PAYLOAD:
            self._send(to, payload)
        elif len(servers) > 1:
            middle = len(servers) // 2
            self._send_in_parts(to, servers[:middle], encode)
            self._send_in_parts(to, servers[middle:], encode)
        else:
            metrics.DROPPED_MESSAGES.labels("evidence-too-large").inc()

    async def _probe(self, action: ProbeServer) -> None:
        address = self._find_address(action.server)
        if address is None:
            return
        # The content of the response is not trusted: a probe only shows that
        # the server accepts a connection and responds in time.
        result = await send_request(
            address,
            "GET",
            _PROBE_PATH,
            timeout=action.timeout,
            faults=self._faults,
        )
        reply = result.value_or(None)
        passed = reply is not None and reply.head.status < _MIN_ERROR_STATUS
        _LOG.info(
            "Probe of server %s %s.",
            action.server,
            "passed" if passed else "failed",
        )
        self._detector.observe_probe(action.server, passed, read_clock())
