"""Client of the table service: protobuf messages over HTTP."""

from typing import TypeVar

from google.protobuf import message
from returns.result import Failure, Result, Success

from egretlever.core import (
    Address,
    Interval,
    Seconds,
    Version,
    check_parameters,
)
from egretlever.platform._http import HttpClient
from egretlever.platform._interfaces import Row, StoreError, StoreErrorKind
from egretlever.schema import platform_pb2

# A page of 100 order claims with stored responses of the maximum size is below
# 1 MB.
MAX_BODY_BYTES = 4 * 1024 * 1024

_Message = TypeVar("_Message", bound=message.Message)

# Statuses of requests that the service rejected without running them.
REJECTION_STATUSES = frozenset(
    {400, 404, 405, 408, 411, 413, 414, 429, 431, 503}
)


def parse_reply(kind: type[_Message], body: bytes) -> _Message | None:
    """Parse a reply; None when the bytes cannot be decoded."""
    try:
        return kind.FromString(body)
    except message.DecodeError:
        return None


def _unavailable(text: str) -> Failure[StoreError]:
    return Failure(StoreError(StoreErrorKind.UNAVAILABLE, text))


def _unknown(text: str) -> Failure[StoreError]:
    return Failure(StoreError(StoreErrorKind.UNKNOWN_EFFECT, text))


def _decode_rows(rows: object) -> tuple[Row, ...]:
    return tuple(
        Row(row.key, row.value, Version(row.version))
        for row in rows  # type: ignore[attr-defined]
    )


class HttpTableStore:
    """Table service over HTTP.

    Parameters
    ----------
    client : HttpClient
        HTTP client of the service.
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def read(self, key: str) -> Result[Row, StoreError]:
        """Read one row; a missing row has version 0."""
        request = platform_pb2.ReadRequest(keys=[key])
        found = await self._read_rows("/table/read", request)
        if isinstance(found, Failure):
            return found
        rows = found.unwrap()
        if len(rows) != 1 or rows[0].key != key:
            return _unavailable(
                f"the reply to a read of {key} contains other rows"
            )
        return Success(rows[0])

    async def scan(
        self, prefix: str, limit: int = 100, after: str = ""
    ) -> Result[tuple[Row, ...], StoreError]:
        """Read rows whose keys start with a prefix, in key order."""
        request = platform_pb2.ScanRequest(
            prefix=prefix, limit=limit, after=after
        )
        found = await self._read_rows("/table/scan", request)
        if isinstance(found, Failure):
            return found
        keys = [row.key for row in found.unwrap()]
        in_order = keys == sorted(set(keys)) and len(keys) <= limit
        if not in_order or any(
            not key.startswith(prefix) or key <= after for key in keys
        ):
            return _unavailable(
                f"the reply to a scan of {prefix} violates its limits or order"
            )
        return found

    async def _read_rows(
        self, target: str, request: message.Message
    ) -> Result[tuple[Row, ...], StoreError]:
        body = request.SerializeToString()
        result = await self._client.request("POST", target, body)
        if isinstance(result, Failure):
            return _unavailable(result.failure().message)
        answer = result.unwrap()
        if answer.status != 200:
            return _unavailable(
                f"the table service returned status {answer.status}"
            )
        reply = parse_reply(platform_pb2.RowsReply, answer.body)
        if reply is None:
            return _unavailable(
                "the reply of the table service cannot be decoded"
            )
        return Success(_decode_rows(reply.rows))

    async def write(
        self,
        rows: dict[str, bytes],
        conditions: dict[str, Version],
    ) -> Result[None, StoreError]:
        """Write all rows atomically if all given rows have their versions."""
        request = platform_pb2.WriteRequest(
            rows=[
                platform_pb2.Row(key=key, value=value)
                for key, value in rows.items()
            ],
            conditions=[
                platform_pb2.RowCondition(key=key, version=version)
                for key, version in conditions.items()
            ],
        )
        body = request.SerializeToString()
        result = await self._client.request("POST", "/table/write", body)
        if isinstance(result, Failure):
            error = result.failure()
            fail = _unknown if error.sent else _unavailable
            return fail(error.message)
        answer = result.unwrap()
        if answer.status in REJECTION_STATUSES:
            return _unavailable(
                f"the table service returned status {answer.status}"
            )
        if answer.status != 200:
            return _unknown(
                f"the table service returned status {answer.status}"
            )
        return _interpret_write(answer.body, conditions)

    async def close(self) -> None:
        """Close all idle connections."""
        await self._client.close()


def _interpret_write(
    body: bytes, conditions: dict[str, Version]
) -> Result[None, StoreError]:
    reply = parse_reply(platform_pb2.WriteReply, body)
    if reply is None:
        return _unknown("the reply of the table service cannot be decoded")
    if reply.committed:
        return Success(None)
    conflicts = _decode_rows(reply.conflicts)
    # An empty body decodes as an uncommitted reply, so a failed condition is
    # accepted only with rows that contradict the conditions.
    if not conflicts or any(
        conditions.get(row.key, row.version) == row.version for row in conflicts
    ):
        return _unknown("the reply has neither a commit nor conflicting rows")
    return Failure(
        StoreError(
            StoreErrorKind.CONDITION_FAILED,
            "a row does not have the expected version",
            conflicts,
        )
    )


def make_table_store(address: Address, timeout: Seconds) -> HttpTableStore:
    """Make a client of the table service.

    Parameters
    ----------
    address : Address
        Address of the service.
    timeout : Seconds
        Timeout of one operation.

    Returns
    -------
    HttpTableStore
        Client with pooled connections.

    Raises
    ------
    FindingsError
        When the timeout is not positive.

    Examples
    --------
    >>> store = make_table_store(Address("127.0.0.1", 7000), Seconds(1.0))
    """
    check_parameters(
        "TableStore", {"timeout": timeout}, {"timeout": Interval(0.001)}
    )
    return HttpTableStore(HttpClient(address, timeout, MAX_BODY_BYTES))
