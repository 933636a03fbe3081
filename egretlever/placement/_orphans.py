"""Detection of directory rows whose hosts are gone for good."""

from collections.abc import Collection, Iterable

from egretlever.core import Address, Seconds

# Time without a sign of life after which the row of a host is an orphan. A host
# that was cut off for longer writes its row again when it is back.
_ORPHAN_AGE = Seconds(600.0)
# Share of the hosts of a failure domain that must be alive. With fewer, the
# observer itself is more likely cut off from them.
_MIN_LIVE_SHARE = 0.5


class OrphanTracker:
    """Finds the nodes of a failure domain that have shown no sign of life.

    Load pattern: dozens of hosts are lost and a thousand replaced each day. A
    home node removes the row of its server, but a lost host leaves it behind,
    and all entry nodes keep trying its address.
    """

    def __init__(self) -> None:
        self._missing_since: dict[Address, Seconds] = {}

    def list_orphans(
        self,
        relays: Iterable[Address],
        live: Collection[Address],
        now: Seconds,
    ) -> list[Address]:
        """Return the nodes that have been missing for long.

        Parameters
        ----------
        relays : iterable of Address
            Nodes with rows in the directory, each once.
        live : collection of Address
            Nodes that are known to live.
        now : Seconds
            Clock time.
        """
        listed = list(relays)
        missing = [relay for relay in listed if relay not in live]
        self._missing_since = {
            relay: self._missing_since.get(relay, now) for relay in missing
        }
        if len(listed) - len(missing) < _MIN_LIVE_SHARE * len(listed):
            return []
        return [
            relay
            for relay, since in self._missing_since.items()
            if now - since >= _ORPHAN_AGE
        ]

    def observe_reached(self, relay: Address, now: Seconds) -> None:
        """Record that a missing node was reached after all."""
        self._missing_since[relay] = now

    def reset(self) -> None:
        """Forget all observations, since another node makes them now."""
        self._missing_since.clear()
