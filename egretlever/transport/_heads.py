"""Request and response heads: validation, lookup and hop-by-hop headers."""

import dataclasses
import re

import h11

Headers = list[tuple[bytes, bytes]]

# RFC 9110, section 15. Those below 200 are interim responses.
_VALID_STATUSES = range(100, 600)
_FIRST_FINAL_STATUS = 200

# Headers of a single connection, which are not forwarded (RFC 9110, 7.6.1).
_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)
_BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")
_FOLDED_LINE = re.compile(rb"\r\n[ \t]")
# The received bytes, in Python's notation, at the end of a message of h11.
_QUOTED_BYTES = re.compile(r":? *(?:bytearray\()?b['\"].*", re.DOTALL)


class RequestError(Exception):
    """A request that is rejected before it is dispatched.

    Parameters
    ----------
    status : int
        HTTP status of the response.
    message : str
        Reason, sent as the body of the response.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


def make_request_error(error: h11.RemoteProtocolError) -> RequestError:
    """Make the error of a request that violates the protocol.

    Parameters
    ----------
    error : RemoteProtocolError
        Error of the parser, whose message may quote received bytes.
    """
    reason = _QUOTED_BYTES.sub("", str(error))
    return RequestError(error.error_status_hint, reason)


@dataclasses.dataclass(slots=True)
class RequestHead:
    """Method, target and headers of a request.

    Parameters
    ----------
    method : str
        HTTP method.
    target : str
        Request target, unchanged.
    headers : list of tuple of bytes
        Lower-case names and values, in order.
    """

    method: str
    target: str
    headers: Headers

    @property
    def path(self) -> str:
        """Path of the target, without the query."""
        return self.target.partition("?")[0]

    def find(self, name: bytes) -> str | None:
        """Return the first value of a header, decoded as Latin-1, or None."""
        return find_header(self.headers, name)


@dataclasses.dataclass(slots=True)
class ResponseHead:
    """Status and headers of a response.

    Parameters
    ----------
    status : int
        HTTP status, 200 to 599.
    headers : list of tuple of bytes
        Lower-case names and values, in order.
    """

    status: int
    headers: Headers

    def find(self, name: bytes) -> str | None:
        """Return the first value of a header, decoded as Latin-1, or None."""
        return find_header(self.headers, name)


def is_valid_status(status: int) -> bool:
    """Tell whether a number is a status code of HTTP."""
    return status in _VALID_STATUSES


def is_final_status(status: int) -> bool:
    """Tell whether a number is the status code of a final response."""
    return is_valid_status(status) and status >= _FIRST_FINAL_STATUS


def find_header(headers: Headers, name: bytes) -> str | None:
    """Return the first value of a header.

    Parameters
    ----------
    headers : list of tuple of bytes
        Headers to search.
    name : bytes
        Lower-case name.

    Returns
    -------
    str or None
        Value decoded as Latin-1, None without such a header.

    Examples
    --------
    >>> find_header([(b"host", b"example")], b"host")
    'example'
    """
    for key, value in headers:
        if key == name:
            return value.decode("latin-1")
    return None


def check_raw_head(head: bytes) -> None:
    """Reject line endings that parsers interpret differently.

    One parser may read a bare line feed or a folded line as a new header and
    the next as part of a value, which allows request smuggling.

    Parameters
    ----------
    head : bytes
        Request line and headers as received.

    Raises
    ------
    RequestError
        With status 400.
    """
    if _BARE_LINE_FEED.search(head):
        raise RequestError(400, "a line ends without a carriage return")
    if _FOLDED_LINE.search(head):
        raise RequestError(400, "a header line is folded")


def check_request(head: RequestHead) -> None:
    """Reject requests with ambiguous framing and ones that cannot be proxied.

    Parameters
    ----------
    head : RequestHead
        Parsed head of the request.

    Raises
    ------
    RequestError
        With status 400, 405 or 501.
    """
    names = [name for name, _ in head.headers]
    if b"content-length" in names and b"transfer-encoding" in names:
        raise RequestError(400, "both content-length and transfer-encoding")
    if names.count(b"host") > 1:
        raise RequestError(400, "more than one host header")
    if head.method == "CONNECT":
        raise RequestError(405, "CONNECT is not supported")
    if not head.target.startswith("/") and head.target != "*":
        raise RequestError(400, "the request target is not a path")


def remove_hop_by_hop(headers: Headers) -> Headers:
    """Remove hop-by-hop headers.

    Parameters
    ----------
    headers : list of tuple of bytes
        Headers with lower-case names.

    Returns
    -------
    list of tuple of bytes
        Headers to forward. Transfer-encoding is removed too; see
        `is_chunked`.

    Examples
    --------
    >>> remove_hop_by_hop([(b"connection", b"x-a"), (b"x-a", b"1")])
    []
    """
    named: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
    # Content-length is framing: a Connection header must not remove it.
    named.discard(b"content-length")
    return [
        (name, value)
        for name, value in headers
        if name not in _HOP_BY_HOP and name not in named
    ]


def is_chunked(headers: Headers) -> bool:
    """Return whether the body uses chunked transfer coding."""
    return any(
        name == b"transfer-encoding" and value.lower().endswith(b"chunked")
        for name, value in headers
    )


def find_content_length(headers: Headers) -> int | None:
    """Return the content length in bytes, None without a valid one."""
    value = find_header(headers, b"content-length")
    return int(value) if value is not None and value.isdecimal() else None
