"""Names of the platform's HTTP headers, in lower case."""

# Id of one attempt of a client; servers echo it.
REQUEST_ID = b"x-request-id"
# Milliseconds that the client, or the node before the server, still waits.
DEADLINE = b"x-request-deadline"
# Id of the server that is meant; any other answers 421 and does not run it.
EXPECTED_SERVER = b"x-expected-instance"
# Service of the host on which the request began; set by the node.
CALLER_SERVICE = b"x-caller-service"
# Proof that a body is the server's; returned unchanged.
SIGNATURE = b"x-response-signature"
# Present when the server did not run the request.
NOT_RUN = b"x-not-executed"
RETRY_AFTER = b"retry-after"
