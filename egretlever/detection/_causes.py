"""Causes of bad outcomes other than a server: the node itself and links."""

import math

from egretlever.core import RegionName, ServerId

_DECAY = 3.0
_BLAME_FOR = 3.0
_RECENT = 6.0
# Servers remembered for each region, enough to tell most from few.
_SERVERS = 64


class _RegionOutcomes:
    __slots__ = ("at", "bad_", "good_", "servers")

    def __init__(self) -> None:
        self.at = 0.0
        self.good_ = 0.0
        self.bad_ = 0.0
        # Time of the last outcome of each server and whether it was bad.
        self.servers: dict[ServerId, tuple[float, bool]] = {}

    def add(self, server: ServerId, bad: bool, now: float) -> None:
        factor = math.exp((self.at - now) / _DECAY)
        self.at = now
        self.good_ = self.good_ * factor + (not bad)
        self.bad_ = self.bad_ * factor + bad
        self.servers.pop(server, None)
        self.servers[server] = (now, bad)
        if len(self.servers) > _SERVERS:
            del self.servers[next(iter(self.servers))]

    def bad_share(self) -> float:
        return self.bad_ / (self.good_ + self.bad_ + 1.0)

    def count_servers(self, now: float) -> tuple[int, int]:
        """Return the servers whose last outcome is bad, and all recent."""
        recent = [
            bad for at, bad in self.servers.values() if now - at < _RECENT
        ]
        return sum(recent), len(recent)


class CauseTracker:
    """Tells faults of a link or of this node from faults of servers.

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
        """Count an outcome; true when it makes its region newly blamed."""
        outcomes = self._regions.get(region)
        if outcomes is None:
            outcomes = self._regions[region] = _RegionOutcomes()
        outcomes.add(server, bad, now)
        if not bad or region == self._region:
            return False
        own = self._regions.get(self._region)
        if own is not None and own.bad_share() > 0.2:
            return False
        # Two servers, because a single bad one is more likely than a link.
        bad_servers, servers = outcomes.count_servers(now)
        if bad_servers >= 2 and bad_servers > servers / 2:
            before = self._blamed.get(region, -math.inf)
            self._blamed[region] = now + _BLAME_FOR
            return before < now
        return False

    def observe_pause(self, now: float) -> None:
        """Void what started before now."""
        self._pause_end = now
        self._regions.clear()

    def is_own_pause(self, started: float) -> bool:
        """Tell whether an attempt started before the end of a pause."""
        return started <= self._pause_end

    def is_overloaded(self, now: float) -> bool:
        """Tell whether almost all servers look bad from this node.

        Servers fail in groups, but hardly four fifths of all outcomes over
        four servers; then the node itself is the likelier cause.
        """
        own = self._regions.get(self._region)
        return (
            own is not None
            and own.bad_ >= 6
            and own.bad_share() > 0.8
            and own.count_servers(now)[0] >= 4
        )

    def is_link_blamed(self, region: RegionName, now: float) -> bool:
        """Tell whether the link to a region is blamed."""
        return self._blamed.get(region, -math.inf) > now

    def blamed(self, now: float) -> tuple[RegionName, ...]:
        """Return the regions whose link is blamed."""
        return tuple(sorted(r for r, end in self._blamed.items() if end > now))
