"""Admin page that controls fault injection in tests."""

from google.protobuf import json_format

from egretlever.schema import faults_pb2
from egretlever.transport import Answer, FaultInjector, LinkFaultInjector


def answer_faults(injector: FaultInjector, method: str, body: bytes) -> Answer:
    """Handle a request to the page of injected link faults.

    Parameters
    ----------
    injector : FaultInjector
        Fault injector of the node.
    method : str
        ``GET`` returns the faults and ``POST`` replaces them.
    body : bytes
        `LinkFaults` as JSON.

    Returns
    -------
    Answer
        The faults in force; 404 when fault injection is disabled.
    """
    if not isinstance(injector, LinkFaultInjector):
        return Answer(404, b"unknown page\n")
    if method == "POST":
        requested = faults_pb2.LinkFaults()
        try:
            json_format.Parse(body, requested)
        except (json_format.ParseError, UnicodeDecodeError) as error:
            return Answer(400, f"{error}\n".encode())
        injector.replace(requested.faults)
    elif method not in ("GET", "HEAD"):
        return Answer(405, b"method not allowed\n")
    text = json_format.MessageToJson(
        faults_pb2.LinkFaults(faults=injector.faults)
    )
    return Answer(200, text.encode(), "application/json")
