"""Admin page that steers injected faults, for tests."""

from google.protobuf import json_format

from egretlever.schema import faults_pb2
from egretlever.transport import Answer, FaultInjector, LinkFaultInjector


def answer_faults(injector: FaultInjector, method: str, body: bytes) -> Answer:
    """Answer a request to the page of link faults.

    Parameters
    ----------
    injector : FaultInjector
        Injector of the node.
    method : str
        ``GET`` reads the faults and ``POST`` replaces them.
    body : bytes
        `LinkFaults` as JSON.

    Returns
    -------
    Answer
        The faults in force; 404 where faults can't be injected.
    """
    if not isinstance(injector, LinkFaultInjector):
        return Answer(404, b"unknown page\n")
    if method == "POST":
        wanted = faults_pb2.LinkFaults()
        try:
            json_format.Parse(body, wanted)
        except (json_format.ParseError, UnicodeDecodeError) as error:
            return Answer(400, f"{error}\n".encode())
        injector.replace(wanted.faults)
    elif method not in ("GET", "HEAD"):
        return Answer(405, b"method not allowed\n")
    text = json_format.MessageToJson(
        faults_pb2.LinkFaults(faults=injector.faults)
    )
    return Answer(200, text.encode(), "application/json")
