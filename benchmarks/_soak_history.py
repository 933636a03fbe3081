"""What happened in a randomised run, for its checks."""

import dataclasses
import math
import time

from benchmarks._soak_plan import Kind


@dataclasses.dataclass(slots=True)
class Span:
    """An event that took place.

    Parameters
    ----------
    kind : Kind
        What happened.
    target, detail : str
        As in the event.
    began : float
        Unix time of its begin.
    ended : float
        Unix time of its end, infinite while it lasts.
    announced : float
        Unix time at which a leaving server had announced itself.
    """

    kind: Kind
    target: str
    detail: str
    began: float
    ended: float = math.inf
    announced: float = math.inf

    def overlaps(self, began: float, ended: float) -> bool:
        """Tell whether it lasted at any moment of a time."""
        return self.began <= ended and began <= self.ended

    def __str__(self) -> str:
        words = [self.kind.value, self.target, self.detail]
        shown = " ".join(word for word in words if word)
        return f"{shown} {self.began:.3f}..{self.ended:.3f}"


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """One reading of a node's view.

    Parameters
    ----------
    node : str
        The node.
    asked, answered : float
        Unix times.
    ready : bool or None
        None when the node did not answer.
    version : int
        Version of the catalogue in force at the node.
    """

    node: str
    asked: float
    answered: float
    ready: bool | None
    version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Edit:
    """An accepted edit of the catalogue.

    Parameters
    ----------
    version : int
        Version that it made.
    accepted : float
        Unix time at which the operator's program had said so.
    operator : str
        Who made it.
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
        Which one.
    records : tuple of str
        What shows it.
    """

    promise: str
    records: tuple[str, ...]


@dataclasses.dataclass(slots=True)
class History:
    """Everything that the checks need besides results and runs."""

    spans: list[Span] = dataclasses.field(default_factory=list)
    samples: list[Sample] = dataclasses.field(default_factory=list)
    edits: list[Edit] = dataclasses.field(default_factory=list)
    violations: list[Violation] = dataclasses.field(default_factory=list)

    def begin(self, kind: Kind, target: str, detail: str = "") -> Span:
        """Note the begin of an event."""
        span = Span(kind, target, detail, time.time())
        self.spans.append(span)
        return span

    def report(self, promise: str, *records: str) -> None:
        """Note a broken promise, once for the same records."""
        violation = Violation(promise, records)
        if violation not in self.violations:
            self.violations.append(violation)

    def find(
        self, target: str, began: float, ended: float, *kinds: Kind
    ) -> list[Span]:
        """Find events of some kinds, or of all, on a target in a time."""
        return [
            span
            for span in self.spans
            if span.target == target
            and (not kinds or span.kind in kinds)
            and span.overlaps(began, ended)
        ]
