"""Admission control: priority queues, adaptive concurrency limits, fairness."""

from egretlever.admission._admission import make_admission
from egretlever.admission._estimates import DecayingRate
from egretlever.admission._fifo import make_fifo_admission
from egretlever.admission._interface import (
    Admission,
    AdmissionDecision,
    AdmissionEvent,
    Admitted,
    Capacity,
    LoopPause,
    Queued,
    QueueDepartures,
    RankPolicy,
    RefusalReason,
    Refused,
    ServicePolicy,
    ServiceSnapshot,
    Ticket,
)
from egretlever.admission._limit import ConcurrencyLimit

__all__ = [
    "Admission",
    "AdmissionDecision",
    "AdmissionEvent",
    "Admitted",
    "Capacity",
    "ConcurrencyLimit",
    "DecayingRate",
    "LoopPause",
    "QueueDepartures",
    "Queued",
    "RankPolicy",
    "RefusalReason",
    "Refused",
    "ServicePolicy",
    "ServiceSnapshot",
    "Ticket",
    "make_admission",
    "make_fifo_admission",
]
