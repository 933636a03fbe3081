"""Record of a randomised run: events, readings, edits and violations."""

import dataclasses
import math
import time

from benchmarks._soak_plan import Kind


@dataclasses.dataclass(slots=True)
class Span:
    """An event that was carried out, with its times.

    Parameters
    ----------
    kind : Kind
        Kind of the event.
    target, detail : str
        Target and detail of the event.
    began : float
        Unix time at which it began.
    ended : float
        Unix time at which it ended, infinite while it lasts.
    announced : float
        Unix time at which a draining server acknowledged the request to
        drain, infinite if it did not.
    """

    kind: Kind
    target: str
    detail: str
    began: float
    ended: float = math.inf
    announced: float = math.inf

    def overlaps(self, began: float, ended: float) -> bool:
        """Return whether the event overlaps a time interval."""
        return self.began <= ended and began <= self.ended

    def __str__(self) -> str:
        words = [self.kind.value, self.target, self.detail]
        shown = " ".join(word for word in words if word)
        return f"{shown} {self.began:.3f}..{self.ended:.3f}"


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """One reading of a node's status.

    Parameters
    ----------
    node : str
        Name of the node.
    requested_at, answered_at : float
        Unix times of the request and of its answer.
    ready : bool or None
        Whether the node was ready, None when it did not answer.
    version : int
        Version of the catalogue in force at the node.
    """

    node: str
    requested_at: float
    answered_at: float
    ready: bool | None
    version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Edit:
    """An accepted edit of the catalogue.

    Parameters
    ----------
    version : int
        Version that the edit created.
    accepted : float
        Unix time at which the operator's program reported the acceptance.
    operator : str
        Name of the operator.
    """

    version: int
    accepted: float
    operator: str


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A broken promise.

    Parameters
    ----------
    promise : str
        Name of the promise.
    records : tuple of str
        Records that show the violation.
    """

    promise: str
    records: tuple[str, ...]


@dataclasses.dataclass(slots=True)
class History:
    """Everything that the checks need besides results and server records."""

    spans: list[Span] = dataclasses.field(default_factory=list)
    samples: list[Sample] = dataclasses.field(default_factory=list)
    edits: list[Edit] = dataclasses.field(default_factory=list)
    violations: list[Violation] = dataclasses.field(default_factory=list)

    def record_begin(self, kind: Kind, target: str, detail: str = "") -> Span:
        """Record the begin of an event and return its span."""
        span = Span(kind, target, detail, time.time())
        self.spans.append(span)
        return span

    def report(self, promise: str, *records: str) -> None:
        """Record a broken promise, once for the same records."""
        violation = Violation(promise, records)
        if violation not in self.violations:
            self.violations.append(violation)

    def find_spans(
        self, target: str, began: float, ended: float, *kinds: Kind
    ) -> list[Span]:
        """Find the events on a target in an interval, by kind if given."""
        return [
            span
            for span in self.spans
            if span.target == target
            and (not kinds or span.kind in kinds)
            and span.overlaps(began, ended)
        ]
