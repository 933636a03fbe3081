"""Client of the object store: GET and PUT of objects by name."""

import urllib.parse

from returns.result import Failure, Result, Success

from egretlever.core import Address, Interval, Seconds, check_parameters
from egretlever.platform._http import HttpClient
from egretlever.platform._interfaces import StoreError, StoreErrorKind
from egretlever.platform._table import REJECTION_STATUSES

# A catalogue of 5,100 routes and 380 services takes about 1 MB.
MAX_OBJECT_BYTES = 16 * 1024 * 1024


def _make_target(name: str) -> str:
    return "/objects/" + urllib.parse.quote(name, safe="")


class HttpObjectStore:
    """Object store over HTTP.

    Parameters
    ----------
    client : HttpClient
        HTTP client of the store.
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def get(self, name: str) -> Result[bytes, StoreError]:
        """Read an object; a missing one is ``CONDITION_FAILED``."""
        result = await self._client.request("GET", _make_target(name))
        if isinstance(result, Failure):
            message = result.failure().message
            return Failure(StoreError(StoreErrorKind.UNAVAILABLE, message))
        reply = result.unwrap()
        if reply.status == 200:
            return Success(reply.body)
        if reply.status == 404:
            return Failure(
                StoreError(
                    StoreErrorKind.CONDITION_FAILED,
                    f"object {name} does not exist",
                )
            )
        return Failure(
            StoreError(
                StoreErrorKind.UNAVAILABLE,
                f"the object store returned status {reply.status}",
            )
        )

    async def put(self, name: str, body: bytes) -> Result[None, StoreError]:
        """Write an object."""
        result = await self._client.request("PUT", _make_target(name), body)
        if isinstance(result, Failure):
            error = result.failure()
            kind = (
                StoreErrorKind.UNKNOWN_EFFECT
                if error.sent
                else StoreErrorKind.UNAVAILABLE
            )
            return Failure(StoreError(kind, error.message))
        status = result.unwrap().status
        if status in (200, 201, 204):
            return Success(None)
        kind = (
            StoreErrorKind.UNAVAILABLE
            if status in REJECTION_STATUSES
            else StoreErrorKind.UNKNOWN_EFFECT
        )
        return Failure(
            StoreError(kind, f"the object store returned status {status}")
        )

    async def close(self) -> None:
        """Close all idle connections."""
        await self._client.close()


def make_object_store(address: Address, timeout: Seconds) -> HttpObjectStore:
    """Make a client of the object store.

    Parameters
    ----------
    address : Address
        Address of the store.
    timeout : Seconds
        Timeout of one operation.

    Returns
    -------
    HttpObjectStore
        Client with pooled connections.

    Raises
    ------
    FindingsError
        When the timeout is not positive.

    Examples
    --------
    >>> store = make_object_store(Address("127.0.0.1", 7000), Seconds(1.0))
    """
    check_parameters(
        "ObjectStore", {"timeout": timeout}, {"timeout": Interval(0.001)}
    )
    return HttpObjectStore(HttpClient(address, timeout, MAX_OBJECT_BYTES))
