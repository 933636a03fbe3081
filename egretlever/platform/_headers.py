"""Names of the platform's HTTP headers, in lower case, and their values."""

from collections.abc import Iterable

# Id of one attempt of a client; servers return it unchanged.
REQUEST_ID = b"x-request-id"
# Milliseconds for which the client, or the node that forwards the request,
# still waits for a response.
DEADLINE = b"x-request-deadline"
# Id of the target server; any other server answers 421 without running the
# request.
EXPECTED_SERVER = b"x-expected-instance"
# Service of the host from which the request came first; set by the node.
CALLER_SERVICE = b"x-caller-service"
# Signature by which clients check that a body comes from the server; nodes
# forward it unchanged.
SIGNATURE = b"x-response-signature"
# Present in the response when the server did not run the request.
NOT_RUN = b"x-not-executed"
# Key of a customer, as "Bearer KEY". It is not passed on.
AUTHORIZATION = b"authorization"
# Name of the customer that holds the key of the request; set by the node.
CUSTOMER = b"x-tenant-id"
RETRY_AFTER = b"retry-after"
# Requests per second that the server takes from all hosts together, as long as
# its answers say so.
SERVER_LIMIT = b"server-limit"
# "1" in all answers of a server that is about to leave.
SERVER_LEAVING = b"server-leaving"
# Number of the store's history in all of its answers. It increases by one each
# time that the store is restored from an older copy; earlier stores send none.
STORE_ERA = b"store-era"

_BEARER_SCHEME = b"bearer"


def decode_keys(values: Iterable[bytes]) -> list[bytes]:
    """Decode the keys in the values of the header ``AUTHORIZATION``.

    Credentials of another scheme count as a key that nobody holds.

    Examples
    --------
    >>> decode_keys([b"Bearer k-1"])
    [b'k-1']
    """
    keys = []
    for value in values:
        scheme, _, key = value.strip().partition(b" ")
        keys.append(key.strip() if scheme.lower() == _BEARER_SCHEME else b"")
    return keys
