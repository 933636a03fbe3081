"""Planned stop of a relay node."""

import dataclasses
from collections.abc import Collection

import curio

from egretlever.core import Seconds, make_log
from egretlever.relay._acceptor import RelayAcceptor
from egretlever.relay._clients import ClientConnection
from egretlever.relay._entry import EntryNode
from egretlever.relay._home import HomeNode
from egretlever.schema import logs_pb2
from egretlever.transport import read_clock

_LOG = make_log("node")
# Clients stop using the node after two failed readiness checks, one per second.
# Until then they open connections, which are served.
_LEAVE_NOTICE_TIME = Seconds(3.0)
# Time reserved before SIGKILL for the process to exit by itself.
_EXIT_MARGIN = Seconds(0.4)
# Time reserved for the last answers to reach their clients.
_ANSWER_MARGIN = Seconds(0.15)
# Both together take at most this share of the grace period. Only in its last
# sixth may the node answer requests at which servers are at work.
_MAX_MARGIN_SHARE = 0.15
_DRAIN_POLL_INTERVAL = 0.05  # seconds
_FLUSH_TIME = 0.05  # seconds


@dataclasses.dataclass(frozen=True, slots=True)
class StopSchedule:
    """Clock times of a planned stop.

    Parameters
    ----------
    begins_at : Seconds
        When the stop was asked for.
    leaves_at : Seconds
        From when on new requests and offers are rejected.
    answers_by : Seconds
        By when every request has its answer.
    ends_at : Seconds
        When the process ends at the latest.
    """

    begins_at: Seconds
    leaves_at: Seconds
    answers_by: Seconds
    ends_at: Seconds


def plan_stop(begins_at: Seconds, grace: Seconds) -> StopSchedule:
    """Plan a stop.

    Parameters
    ----------
    begins_at : Seconds
        Clock time at which the stop was asked for.
    grace : Seconds
        Time from then on until the process is killed.
    """
    margins = _EXIT_MARGIN + _ANSWER_MARGIN
    scale = min(1.0, _MAX_MARGIN_SHARE * grace / margins)
    ends_at = Seconds(begins_at + grace - scale * _EXIT_MARGIN)
    answers_by = Seconds(ends_at - scale * _ANSWER_MARGIN)
    return StopSchedule(
        begins_at=begins_at,
        # Readiness fails from the start of the stop, which notifies clients. A
        # request that still arrives later might not be finished, so it is
        # rejected while "not run" is still true.
        leaves_at=min(Seconds(begins_at + _LEAVE_NOTICE_TIME), answers_by),
        answers_by=answers_by,
        ends_at=ends_at,
    )


class PlannedStop:
    """Finishes the work of a node that stops.

    Parameters
    ----------
    entry : EntryNode
        Serves the clients.
    home : HomeNode
        Runs requests at the server.
    acceptor : RelayAcceptor
        Connections from other nodes.
    connections : collection of ClientConnection
        Open client connections.
    """

    def __init__(
        self,
        entry: EntryNode,
        home: HomeNode,
        acceptor: RelayAcceptor,
        connections: Collection[ClientConnection],
    ) -> None:
        self._entry = entry
        self._home = home
        self._acceptor = acceptor
        self._connections = connections
        # Those that may hold the stop up.
        self._awaited: frozenset[ClientConnection] = frozenset()

    async def run(self, schedule: StopSchedule) -> None:
        """Return when all work is finished, or at the end of the schedule."""
        self._entry.stop(schedule.leaves_at, schedule.answers_by)
        self._home.stop(schedule.leaves_at, schedule.answers_by)
        await curio.sleep(max(0.0, schedule.leaves_at - read_clock()))
        await self._home.report_outlasting()
        # Later ones only get rejections, and may be many.
        self._awaited = frozenset(self._connections)
        while (
            now := read_clock()
        ) < schedule.ends_at and self._has_unfinished_work():
            if now >= schedule.answers_by:
                # Deadlines of requests that were read before the stop may lie
                # after its end.
                await self._entry.running.end_all()
            await curio.sleep(_DRAIN_POLL_INTERVAL)
        # A late turn may have come after the end of the schedule.
        await self._entry.running.end_all()
        await self._acceptor.end_sending(schedule.ends_at)
        # The peers still read the last answers and replies.
        await curio.sleep(_FLUSH_TIME)
        self._log_end(schedule)

    def _count_unfinished_connections(self) -> int:
        open_connections = self._awaited.intersection(self._connections)
        return sum(one.is_unfinished for one in open_connections)

    def _has_unfinished_work(self) -> bool:
        """Tell whether a request has no answer, or one that is not read yet.

        A slow client takes seconds to read a large answer.
        """
        return bool(
            self._entry.running
            or self._home.jobs.count_running()
            or self._acceptor.has_unsent_replies
            or self._count_unfinished_connections()
        )

    def _log_end(self, schedule: StopSchedule) -> None:
        _LOG.event(
            logs_pb2.StopLine(
                event="drained",
                requests=len(self._entry.running),
                jobs=self._home.jobs.count_running(),
                unsent_replies=self._acceptor.has_unsent_replies,
                connections=len(self._connections),
                unfinished_connections=self._count_unfinished_connections(),
                took_s=round(read_clock() - schedule.begins_at, 3),
            )
        )
