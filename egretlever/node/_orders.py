"""Orders on their way through the node: claim, replay, record."""

import dataclasses

from egretlever.catalogue import CatalogueState
from egretlever.core import OrderMode, Outcome, ServiceName
from egretlever.node._answers import OwnAnswer
from egretlever.node._context import RequestContext
from egretlever.node._exchange import AttemptOutcome
from egretlever.orders import (
    Claim,
    Claimed,
    Held,
    Known,
    OrderLedger,
    OrderRequest,
    RecordedAnswer,
    Refused,
    digest_request,
)
from egretlever.transport import RequestHead, ResponseHead, read_clock


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """Recorded answer of an order that was completed before.

    Parameters
    ----------
    head : ResponseHead
        Recorded status and media type.
    body : bytes
        Recorded body, empty when it was too long to be kept.
    """

    head: ResponseHead
    body: bytes


class OrderHandler:
    """Claims orders before their dispatch and records how they ended.

    Parameters
    ----------
    ledger : OrderLedger
        Claims in the table service.
    """

    def __init__(self, ledger: OrderLedger) -> None:
        self._ledger = ledger

    async def open(
        self, context: RequestContext, head: RequestHead
    ) -> Claim | OwnAnswer | Replay:
        """Claim an order.

        Parameters
        ----------
        context, head
            The order.

        Returns
        -------
        Claim or OwnAnswer or Replay
            Only a claim allows a dispatch.
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
        if isinstance(result, Known):
            if result.answer.omitted:
                return OwnAnswer(
                    410, result.outcome, "completed, its answer was not kept"
                )
            return _make_replay(result.answer)
        if isinstance(result, Held):
            return OwnAnswer(409, result.outcome, result.reason)
        if isinstance(result, Refused):
            return OwnAnswer(400, result.outcome, result.reason)
        return OwnAnswer(503, result.outcome, result.reason, result.retry_after)

    def may_dispatch(self, claim: Claim) -> bool:
        """Whether a claim still allows a dispatch."""
        return self._ledger.may_dispatch(claim, read_clock())

    async def close(
        self,
        claim: Claim,
        outcome: Outcome,
        answer: AttemptOutcome | None = None,
    ) -> None:
        """Record how a claimed order ended."""
        recorded = None
        if outcome is Outcome.COMPLETED and answer is not None:
            recorded = _make_record(answer)
        await self._ledger.record(claim, outcome, recorded)


def _make_record(outcome: AttemptOutcome) -> RecordedAnswer:
    assert outcome.response is not None
    return RecordedAnswer(
        outcome.response.status,
        outcome.response.find(b"content-type") or "",
        outcome.data if outcome.held else b"",
        omitted=not outcome.held,
    )


def _make_replay(answer: RecordedAnswer) -> Replay:
    fields = [(b"content-length", b"%d" % len(answer.body))]
    if answer.content_type:
        fields.append((b"content-type", answer.content_type.encode("latin-1")))
    return Replay(ResponseHead(answer.status or 200, fields), answer.body)


def find_mode(catalogue: CatalogueState, service: ServiceName) -> OrderMode:
    """Find how a service's orders are handled while the store is away."""
    entry = catalogue.service(service)
    return entry.order_mode if entry is not None else OrderMode.STRICT
