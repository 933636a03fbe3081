"""Detects bad outcomes that this node or a region link causes."""

import math

from egretlever.core import RegionName, ServerId

_DECAY_TIME_S = 3.0
_BLAME_DURATION_S = 3.0
_RECENT_S = 6.0
# Enough servers per region to tell a fault of most servers from one of a few.
_MAX_SERVERS_PER_REGION = 64


class _RegionOutcomes:
    __slots__ = ("decayed_at", "decayed_bad_", "decayed_good_", "servers")

    def __init__(self) -> None:
        self.decayed_at = 0.0
        self.decayed_good_ = 0.0
        self.decayed_bad_ = 0.0
        # Time of the last outcome of each server and whether it was bad.
        self.servers: dict[ServerId, tuple[float, bool]] = {}

    def add(self, server: ServerId, bad: bool, now: float) -> None:
        factor = math.exp((self.decayed_at - now) / _DECAY_TIME_S)
        self.decayed_at = now
        self.decayed_good_ = self.decayed_good_ * factor + (not bad)
        self.decayed_bad_ = self.decayed_bad_ * factor + bad
        self.servers.pop(server, None)
        self.servers[server] = (now, bad)
        if len(self.servers) > _MAX_SERVERS_PER_REGION:
            del self.servers[next(iter(self.servers))]

    def bad_share(self) -> float:
        return self.decayed_bad_ / (
            self.decayed_good_ + self.decayed_bad_ + 1.0
        )

    def count_servers(self, now: float) -> tuple[int, int]:
        """Return the numbers of bad and of all recently observed servers."""
        recent = [
            bad for at, bad in self.servers.values() if now - at < _RECENT_S
        ]
        return sum(recent), len(recent)


class CauseTracker:
    """Distinguishes faults of links and of this node from faults of servers.

    Parameters
    ----------
    region : RegionName
        Region of this node.
    """

    def __init__(self, region: RegionName) -> None:
        self._region = region
        self._regions: dict[RegionName, _RegionOutcomes] = {}
        self._blamed: dict[RegionName, float] = {}
        self._pause_end = -math.inf

    def observe(
        self, region: RegionName, server: ServerId, bad: bool, now: float
    ) -> bool:
        """Count an outcome; true if the link of its region is newly blamed."""
        outcomes = self._regions.get(region)
        if outcomes is None:
            outcomes = self._regions[region] = _RegionOutcomes()
        outcomes.add(server, bad, now)
        if not bad or region == self._region:
            return False
        own = self._regions.get(self._region)
        if own is not None and own.bad_share() > 0.2:
            return False
        # At least two servers: a single one is more likely to be faulty itself.
        bad_servers, servers = outcomes.count_servers(now)
        if bad_servers >= 2 and bad_servers > servers / 2:
            before = self._blamed.get(region, -math.inf)
            self._blamed[region] = now + _BLAME_DURATION_S
            return before < now
        return False

    def observe_pause(self, now: float) -> None:
        """Discard outcomes of attempts that started before now."""
        self._pause_end = now
        self._regions.clear()

    def is_own_pause(self, started: float) -> bool:
        """Return whether an attempt started before the end of a pause."""
        return started <= self._pause_end

    def is_overloaded(self, now: float) -> bool:
        """Return whether almost all servers look bad from this node.

        Servers may fail in groups. But when more than four fifths of all
        outcomes, on at least four servers, are bad, the node itself is the
        more likely cause.
        """
        own = self._regions.get(self._region)
        return (
            own is not None
            and own.decayed_bad_ >= 6
            and own.bad_share() > 0.8
            and own.count_servers(now)[0] >= 4
        )

    def is_link_blamed(self, region: RegionName, now: float) -> bool:
        """Return whether the link to a region is blamed."""
        return self._blamed.get(region, -math.inf) > now

    def find_blamed_regions(self, now: float) -> tuple[RegionName, ...]:
        """Return the regions whose link is blamed."""
        return tuple(sorted(r for r, end in self._blamed.items() if end > now))
