"""Request mixes: lists of requests with their arrival times, kept in files."""

import pathlib
import random
from collections.abc import Iterable, Sequence

from google.protobuf import json_format

from egretlever.schema import standins_pb2


def make_mix(
    kinds: Sequence[tuple[standins_pb2.LoadRequest, float]],
    duration: float,
    seed: int,
    callers: int = 50,
) -> list[standins_pb2.LoadRequest]:
    """Make a mix of requests with Poisson arrivals.

    Parameters
    ----------
    kinds : sequence of tuple of LoadRequest and float
        Request prototypes with their rates, in requests per second.
    duration : float
        Length of the mix, in seconds.
    seed : int
        Seed of the arrival times.
    callers : int, default=50
        Number of callers of each kind.

    Returns
    -------
    list of LoadRequest
        Requests in order of arrival.
    """
    randomness = random.Random(seed)
    requests = []
    for prototype, rate in kinds:
        at = randomness.expovariate(rate)
        while at < duration:
            request = standins_pb2.LoadRequest()
            request.CopyFrom(prototype)
            request.at_s = round(at, 6)
            request.caller = f"{prototype.rank}-{randomness.randrange(callers)}"
            requests.append(request)
            at += randomness.expovariate(rate)
    return sorted(requests, key=lambda request: request.at_s)


def write_mix(
    path: pathlib.Path, requests: Iterable[standins_pb2.LoadRequest]
) -> None:
    """Write requests as JSON, one per line."""
    lines = (
        json_format.MessageToJson(
            request, preserving_proto_field_name=True, indent=None
        )
        for request in requests
    )
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")


def read_mix(path: pathlib.Path) -> list[standins_pb2.LoadRequest]:
    """Read requests that `write_mix` wrote.

    Raises
    ------
    json_format.ParseError
        If a line is not a valid request.
    """
    return [
        json_format.Parse(line, standins_pb2.LoadRequest())
        for line in path.read_text(encoding="utf-8").splitlines()
        if line.strip()
    ]
