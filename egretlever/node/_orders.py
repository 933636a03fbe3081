"""Orders in the request path: claim, replay and record.

An order is a request that must run at most once. It carries a key, under which
a node claims it in the table service before it is sent to a server.
"""

import dataclasses

from egretlever.catalogue import CatalogueState
from egretlever.core import OrderMode, Outcome, ServiceName
from egretlever.node._context import RequestContext
from egretlever.node._exchange import AttemptOutcome
from egretlever.node._responses import LocalResponse
from egretlever.orders import (
    AlreadyCompleted,
    Claim,
    Claimed,
    OrderLedger,
    OrderRequest,
    OutcomeUnknown,
    RecordedAnswer,
    Refused,
    digest_request,
)
from egretlever.transport import RequestHead, ResponseHead, read_clock


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """Recorded response of an order that had already completed.

    Parameters
    ----------
    head : ResponseHead
        Recorded status and content type.
    body : bytes
        Recorded body, empty when it was too long to be stored.
    """

    head: ResponseHead
    body: bytes


class OrderHandler:
    """Claims orders before they are dispatched and records their outcomes.

    Parameters
    ----------
    ledger : OrderLedger
        Claims in the table service.
    """

    def __init__(self, ledger: OrderLedger) -> None:
        self._ledger = ledger

    async def claim(
        self, context: RequestContext, head: RequestHead
    ) -> Claim | LocalResponse | Replay:
        """Claim an order.

        Parameters
        ----------
        context, head
            Context and head of the order.

        Returns
        -------
        Claim or LocalResponse or Replay
            The order may be dispatched only with a claim.
        """
        assert context.order_key is not None
        request = OrderRequest(
            context.order_key,
            context.choice.service,
            digest_request(head.method, head.target, context.caller),
            context.attempt,
        )
        result = await self._ledger.claim(request, read_clock())
        if isinstance(result, Claimed):
            return result.claim
        if isinstance(result, AlreadyCompleted):
            if result.answer.omitted:
                return LocalResponse(
                    410, result.outcome, "completed, its answer was not kept"
                )
            return _make_replay(result.answer)
        if isinstance(result, OutcomeUnknown):
            return LocalResponse(409, result.outcome, result.reason)
        if isinstance(result, Refused):
            return LocalResponse(400, result.outcome, result.reason)
        return LocalResponse(
            503, result.outcome, result.reason, result.retry_after
        )

    def may_dispatch(self, claim: Claim) -> bool:
        """Whether the order of a claim may still be dispatched."""
        return self._ledger.may_dispatch(claim, read_clock())

    async def record_outcome(
        self,
        claim: Claim,
        outcome: Outcome,
        response: AttemptOutcome | None = None,
    ) -> None:
        """Record the outcome of a claimed order."""
        recorded = None
        if outcome is Outcome.COMPLETED and response is not None:
            recorded = _make_record(response)
        await self._ledger.record(claim, outcome, recorded)


def _make_record(outcome: AttemptOutcome) -> RecordedAnswer:
    assert outcome.response is not None
    return RecordedAnswer(
        outcome.response.status,
        outcome.response.find(b"content-type") or "",
        outcome.data if outcome.buffered else b"",
        omitted=not outcome.buffered,
    )


def _make_replay(recorded: RecordedAnswer) -> Replay:
    fields = [(b"content-length", b"%d" % len(recorded.body))]
    if recorded.content_type:
        fields.append(
            (b"content-type", recorded.content_type.encode("latin-1"))
        )
    return Replay(ResponseHead(recorded.status or 200, fields), recorded.body)


def find_order_mode(
    catalogue: CatalogueState, service: ServiceName
) -> OrderMode:
    """Return how a service's orders are handled while the store is down."""
    entry = catalogue.service(service)
    return entry.order_mode if entry is not None else OrderMode.STRICT
