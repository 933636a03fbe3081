"""Permits of one node that are not used, or in use and not expired."""

import collections

from egretlever.core import CustomerId, Seconds


class HeldPermits:
    """Keeps the permits of requests that were never run for the next ones.

    A permit expires at the same time whoever uses it, since it was counted when
    it was granted.

    Examples
    --------
    >>> permits = HeldPermits()
    >>> mill = CustomerId("mill")
    >>> permits.use(mill, Seconds(1.0), Seconds(1.3), Seconds(1.0))
    >>> permits.release(mill, Seconds(1.0), Seconds(1.1))
    >>> permits.take(mill, Seconds(1.2))
    1.3
    """

    def __init__(self) -> None:
        # Times of expiry.
        self._unused: dict[CustomerId, collections.deque[Seconds]] = {}
        # Times at which requests were submitted, and of expiry.
        self._used: dict[
            CustomerId, collections.deque[tuple[Seconds, Seconds]]
        ] = {}

    def keep(self, customer: CustomerId, expires_at: Seconds) -> None:
        """Keep a permit that no request waits for."""
        self._unused.setdefault(customer, collections.deque()).append(
            expires_at
        )

    def take(self, customer: CustomerId, now: Seconds) -> Seconds | None:
        """Take an unused permit; return when it expires, None without one."""
        unused = self._unused.get(customer)
        while unused:
            expires_at = unused.popleft()
            if expires_at > now:
                return expires_at
        return None

    def use(
        self,
        customer: CustomerId,
        submitted_at: Seconds,
        expires_at: Seconds,
        now: Seconds,
    ) -> None:
        """Record that a request uses a permit, which it may release.

        Parameters
        ----------
        customer : CustomerId
            Customer of the request.
        submitted_at : Seconds
            Clock time at which the request was submitted.
        expires_at : Seconds
            Clock time at which the permit expires.
        now : Seconds
            Clock time.
        """
        used = self._used.setdefault(customer, collections.deque())
        while used and used[0][1] <= now:
            used.popleft()
        used.append((submitted_at, expires_at))

    def release(
        self, customer: CustomerId, submitted_at: Seconds, now: Seconds
    ) -> None:
        """Keep the permit of a request, unless it has expired."""
        used = self._used.get(customer, collections.deque())
        for entry in used:
            if entry[0] == submitted_at:
                used.remove(entry)
                if entry[1] > now:
                    self.keep(customer, entry[1])
                return
