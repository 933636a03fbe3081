"""Conversion between records and protobuf messages of relay nodes."""

import math
from collections.abc import Iterable

from google.protobuf import message
from returns.result import Failure, Result, Success

from egretlever.core import (
    CustomerId,
    FailureDomain,
    Incarnation,
    RequestId,
    RouteId,
    Seconds,
    ServerId,
    ServiceName,
)
from egretlever.placement import (
    Answer,
    FailureReason,
    HeaderFields,
    HomeCondition,
    HomeNotice,
    HomeServer,
    Offer,
    OverdueReport,
    Refusal,
    RefusalReason,
    Reply,
    Trust,
)
from egretlever.placement import Failure as FailedAttempt
from egretlever.platform import MAX_NAME_BYTES, MAX_SLOTS
from egretlever.schema import relay_pb2
from egretlever.settings import parse_address
from egretlever.transport import is_final_status

_TRUST_CODES = {
    Trust.TRUSTED: relay_pb2.TRUSTED,
    Trust.DOUBTED: relay_pb2.DOUBTED,
    Trust.BROKEN: relay_pb2.BROKEN,
}
_TRUST_BY_CODE = {code: trust for trust, code in _TRUST_CODES.items()}


def _decode_refusal_reason(number: int) -> RefusalReason:
    return RefusalReason[relay_pb2.RefusalReason.Name(number)]


def _decode_failure_reason(number: int) -> FailureReason:
    return FailureReason[relay_pb2.FailureReason.Name(number)]


def _to_milliseconds(duration: float) -> int:
    return max(0, min(int(duration * 1000), 0xFFFFFFFF))


def to_clock_milliseconds(time: Seconds) -> int:
    """Convert a clock reading; 0 stands for one that is never reached."""
    return 0 if math.isinf(time) else max(1, int(time * 1000))


def to_seconds(milliseconds: int) -> Seconds:
    return Seconds(milliseconds / 1000)


def _encode_headers(fields: HeaderFields) -> list[relay_pb2.HeaderField]:
    return [
        relay_pb2.HeaderField(name=name, value=value) for name, value in fields
    ]


def _decode_headers(fields: Iterable[relay_pb2.HeaderField]) -> HeaderFields:
    return tuple((field.name, field.value) for field in fields)


def encode_offer(sequence: int, offer: Offer) -> relay_pb2.RelayFrame:
    """Encode an offer with its sequence number on the connection."""
    return relay_pb2.RelayFrame(
        offer=relay_pb2.Offer(
            sequence=sequence,
            request_id=offer.request_id,
            service=offer.service,
            route=offer.route,
            method=offer.method,
            target=offer.target,
            headers=_encode_headers(offer.headers),
            body=offer.body,
            rank=offer.rank,
            idempotent=offer.idempotent,
            time_left_ms=_to_milliseconds(offer.time_left),
            max_wait_ms=_to_milliseconds(offer.max_wait),
            caller_service=offer.caller_service,
            forced=offer.forced,
            resumed=offer.resumed,
            careful=offer.careful,
            late=offer.late,
            repeated=offer.repeated,
            derived=offer.derived,
            retriable=offer.retriable,
            granted=offer.granted,
            usual_ms=_to_milliseconds(offer.usual_time),
            guessed=offer.guessed,
            reserve_ms=_to_milliseconds(offer.time_left),
            expires_at_ms=to_clock_milliseconds(offer.expires_at),
            customer=offer.customer,
            age_ms=_to_milliseconds(offer.age),
        )
    )


def decode_offer(offer: relay_pb2.Offer) -> Offer:
    """Decode an offer."""
    return Offer(
        request_id=RequestId(offer.request_id),
        service=ServiceName(offer.service),
        route=RouteId(offer.route),
        method=offer.method,
        target=offer.target,
        headers=_decode_headers(offer.headers),
        body=offer.body,
        rank=offer.rank,
        idempotent=offer.idempotent,
        time_left=to_seconds(offer.time_left_ms),
        max_wait=to_seconds(offer.max_wait_ms),
        caller_service=ServiceName(offer.caller_service),
        forced=offer.forced,
        resumed=offer.resumed,
        careful=offer.careful,
        late=offer.late,
        repeated=offer.repeated,
        derived=offer.derived,
        retriable=offer.retriable,
        granted=offer.granted,
        usual_time=to_seconds(offer.usual_ms),
        guessed=offer.guessed,
        expires_at=Seconds(
            offer.expires_at_ms / 1000 if offer.expires_at_ms else math.inf
        ),
        customer=CustomerId(offer.customer),
        age=to_seconds(offer.age_ms),
    )


def _encode_condition(
    condition: HomeCondition | None,
) -> relay_pb2.HomeCondition | None:
    if condition is None:
        return None
    return relay_pb2.HomeCondition(
        waits_ms=[_to_milliseconds(wait) for wait in condition.waits],
        free_slots=condition.free_slots,
        trust=_TRUST_CODES[condition.trust],
        service_ms=_to_milliseconds(condition.service_time),
        route_ms=_to_milliseconds(condition.route_time),
        closed_ms=_to_milliseconds(condition.time_to_trial),
    )


def _decode_condition(condition: relay_pb2.HomeCondition) -> HomeCondition:
    return HomeCondition(
        waits=tuple(to_seconds(wait) for wait in condition.waits_ms)
        or (Seconds(0.0),),
        free_slots=condition.free_slots,
        trust=_TRUST_BY_CODE.get(condition.trust, Trust.DOUBTED),
        service_time=to_seconds(condition.service_ms),
        route_time=to_seconds(condition.route_ms),
        time_to_trial=to_seconds(condition.closed_ms),
    )


def encode_hello(
    incarnation: Incarnation, now: Seconds
) -> relay_pb2.RelayFrame:
    """Encode the first frame of a connection."""
    return relay_pb2.RelayFrame(
        hello=relay_pb2.Hello(
            incarnation=incarnation, clock_ms=to_clock_milliseconds(now)
        )
    )


def encode_pong(number: int, now: Seconds) -> relay_pb2.RelayFrame:
    """Encode the reply to a ping."""
    return relay_pb2.RelayFrame(
        pong=relay_pb2.Pong(number=number, clock_ms=to_clock_milliseconds(now))
    )


def decode_clock(
    frame: relay_pb2.Hello | relay_pb2.Pong | relay_pb2.DirectoryChange,
) -> Seconds | None:
    """Decode a clock reading; None when an earlier release sent none."""
    return to_seconds(frame.clock_ms) if frame.clock_ms else None


def encode_notice(notice: HomeNotice) -> relay_pb2.RelayFrame:
    """Encode a notice of a home node."""
    return relay_pb2.RelayFrame(
        notice=relay_pb2.Notice(
            server=notice.server,
            condition=_encode_condition(notice.condition),
        )
    )


def decode_notice(notice: relay_pb2.Notice) -> HomeNotice:
    """Decode a notice of a home node."""
    return HomeNotice(
        ServerId(notice.server), _decode_condition(notice.condition)
    )


def encode_overdue(
    sequence: int, report: OverdueReport
) -> relay_pb2.RelayFrame:
    """Encode that an attempt is overdue."""
    return relay_pb2.RelayFrame(
        overdue=relay_pb2.Overdue(
            sequence=sequence,
            ran_ms=_to_milliseconds(report.ran),
            retry_granted=report.retry_granted,
            condition=_encode_condition(report.condition),
        )
    )


def decode_overdue(overdue: relay_pb2.Overdue) -> OverdueReport:
    """Decode that an attempt is overdue."""
    return OverdueReport(
        to_seconds(overdue.ran_ms),
        overdue.retry_granted,
        _decode_condition(overdue.condition),
    )


def encode_reply(sequence: int, reply: Reply) -> relay_pb2.RelayFrame:
    """Encode the reply to an offer."""
    condition = _encode_condition(reply.condition)
    if isinstance(reply, Answer):
        return relay_pb2.RelayFrame(
            answer=relay_pb2.Answer(
                sequence=sequence,
                status=reply.status,
                headers=_encode_headers(reply.headers),
                body=reply.body,
                condition=condition,
                retry_granted=reply.retry_granted,
                ran_ms=_to_milliseconds(reply.ran),
            )
        )
    if isinstance(reply, Refusal):
        return relay_pb2.RelayFrame(
            refusal=relay_pb2.Refusal(
                sequence=sequence,
                reason=reply.reason.name,
                condition=condition,
                retry_granted=reply.retry_granted,
            )
        )
    return relay_pb2.RelayFrame(
        failure=relay_pb2.Failure(
            sequence=sequence,
            reason=reply.reason.name,
            condition=condition,
            retry_granted=reply.retry_granted,
            ran_ms=_to_milliseconds(reply.ran),
        )
    )


def decode_reply(
    reply: relay_pb2.Answer | relay_pb2.Refusal | relay_pb2.Failure,
) -> Reply:
    """Decode the reply to an offer.

    Raises
    ------
    KeyError
        When the reason is unknown.
    """
    condition = (
        _decode_condition(reply.condition)
        if reply.HasField("condition")
        else None
    )
    if isinstance(reply, relay_pb2.Answer):
        if not is_final_status(reply.status):
            return FailedAttempt(
                FailureReason.GARBLED,
                condition,
                reply.retry_granted,
                to_seconds(reply.ran_ms),
            )
        return Answer(
            reply.status,
            _decode_headers(reply.headers),
            reply.body,
            condition or HomeCondition(),
            reply.retry_granted,
            to_seconds(reply.ran_ms),
        )
    if isinstance(reply, relay_pb2.Refusal):
        return Refusal(
            _decode_refusal_reason(reply.reason), condition, reply.retry_granted
        )
    return FailedAttempt(
        _decode_failure_reason(reply.reason),
        condition,
        reply.retry_granted,
        to_seconds(reply.ran_ms),
    )


def encode_row(server: HomeServer) -> bytes:
    """Encode a server's row in the platform's store."""
    return relay_pb2.ServerRow(
        server=server.id,
        service=server.service,
        failure_domain=server.failure_domain,
        relay_address=str(server.relay),
        slots=server.slots,
        born_unix_ms=server.incarnation,
        draining=server.draining,
    ).SerializeToString()


def decode_row(value: bytes) -> Result[HomeServer, str]:
    """Decode a server's row; a failure holds the reason."""
    try:
        row = relay_pb2.ServerRow.FromString(value)
        relay = parse_address(row.relay_address)
    except (message.DecodeError, ValueError) as error:
        return Failure(str(error))
    names = (row.server, row.service, row.failure_domain)
    if not all(0 < len(name.encode()) <= MAX_NAME_BYTES for name in names):
        return Failure("a name is missing or too long")
    if not 1 <= row.slots <= MAX_SLOTS:
        return Failure(f"{row.slots} slots are not in the allowed range")
    return Success(
        HomeServer(
            id=ServerId(row.server),
            service=ServiceName(row.service),
            failure_domain=FailureDomain(row.failure_domain),
            relay=relay,
            slots=row.slots,
            incarnation=Incarnation(row.born_unix_ms),
            draining=row.draining,
        )
    )
