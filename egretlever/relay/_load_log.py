"""Metrics and log lines on how evenly an entry node's offers are taken."""

import dataclasses

from egretlever.core import Seconds, ServiceName, make_log
from egretlever.placement import (
    Distance,
    HomeChoice,
    HomeSelector,
    Refusal,
    RefusalReason,
    Reply,
    ServersByDistance,
)
from egretlever.relay import _metrics as metrics
from egretlever.schema import logs_pb2

_LOG = make_log("entry")
_INTERVAL = Seconds(1.0)  # between two reports on one service
_LOAD_REASONS = frozenset({RefusalReason.BUSY, RefusalReason.EXPIRED})


@dataclasses.dataclass(slots=True)
class OfferCounts:
    """Offers of one service since the last report on it.

    Parameters
    ----------
    since : Seconds
        Time of the first one.
    offers, refused : int
        Number of offers with a reply, and of those refused for lack of slots.
    reports : int
        Number of offers that rested on a report.
    age_sum : float
        Sum of the ages of these reports in seconds.
    """

    since: Seconds
    offers: int = 0
    refused: int = 0
    reports: int = 0
    age_sum: float = 0.0

    def add(self, choice: HomeChoice, reply: Reply) -> None:
        """Count the reply to an offer."""
        self.offers += 1
        self.refused += (
            isinstance(reply, Refusal) and reply.reason in _LOAD_REASONS
        )
        if choice.view_age is not None:
            self.reports += 1
            self.age_sum += choice.view_age

    def is_due(self, now: Seconds) -> bool:
        """Tell whether the service is to be reported on."""
        return now - self.since >= _INTERVAL

    def describe(
        self, service: ServiceName, spread: float
    ) -> logs_pb2.LoadSpreadLine:
        """Return the line about the service."""
        return logs_pb2.LoadSpreadLine(
            event="load-spread",
            service=service,
            offers=self.offers,
            refused=self.refused,
            view_age_s=round(self.age_sum / max(1, self.reports), 3),
            spread=round(spread, 2),
        )


class LoadLog:
    """Reports on the spread of the load, once a second for each service.

    A line is written only with even load switched on, and only while offers of
    the service are refused for lack of slots.

    Parameters
    ----------
    selector : HomeSelector
        Chooses home nodes and holds their reports.
    """

    def __init__(self, selector: HomeSelector) -> None:
        self._selector = selector
        self._counts: dict[ServiceName, OfferCounts] = {}

    def observe(
        self,
        choice: HomeChoice,
        reply: Reply,
        servers: ServersByDistance,
        now: Seconds,
    ) -> None:
        """Count the reply to an offer, and report on its service if due.

        Parameters
        ----------
        choice : HomeChoice
            The home node and what was known of it.
        reply : Answer, Refusal or Failure
            Its reply.
        servers : mapping of Distance to sequence of HomeServer
            Servers of the service.
        now : Seconds
            Current time.
        """
        service = choice.server.service
        if choice.view_age is not None:
            metrics.REPORT_AGE_SECONDS.observe(choice.view_age)
        counts = self._counts.setdefault(service, OfferCounts(now))
        counts.add(choice, reply)
        if not counts.is_due(now):
            return
        del self._counts[service]
        near = servers[Distance.OWN_DOMAIN]
        spread = self._selector.measure_spread(near, now)
        metrics.LOAD_SPREAD.labels(service).set(spread)
        if counts.refused and self._selector.has_even_load:
            _LOG.event(counts.describe(service, spread))
