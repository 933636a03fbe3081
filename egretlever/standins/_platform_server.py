"""HTTP/1.1 server of the platform stand-in, with h11 on curio."""

from typing import Any

import curio
import h11
from curio import socket

from egretlever.core import Address, make_log
from egretlever.schema import platform_pb2
from egretlever.standins._platform import PlatformAnswer, PlatformStandIn

_LOG = make_log("platform")
_MAX_REQUEST_BYTES = 16 * 1024 * 1024
_BACKLOG = 128


class _RequestTooLarge(Exception):
    """The request body exceeds the size limit."""


async def listen_platform(address: Address) -> Any:
    """Open the listening socket; port 0 selects a free port."""
    return curio.tcp_server_socket(address.ip, address.port, backlog=_BACKLOG)


async def serve_platform(listener: Any, stand_in: PlatformStandIn) -> None:
    """Accept and serve connections until cancelled.

    Parameters
    ----------
    listener : curio.io.Socket
        Socket from ``listen_platform``.
    stand_in : PlatformStandIn
        Processes the requests.
    """
    async with curio.TaskGroup(wait=None) as group, listener:
        while True:
            stream, _ = await listener.accept()
            await group.spawn(_serve_connection, stream, stand_in)


async def _serve_connection(stream: Any, stand_in: PlatformStandIn) -> None:
    async with stream:
        try:
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            codec = h11.Connection(h11.SERVER)
            while await _serve_request(stream, codec, stand_in):
                codec.start_next_cycle()
        except _RequestTooLarge:
            _LOG.warning(
                "request body exceeds %d bytes; connection closed",
                _MAX_REQUEST_BYTES,
            )
        except (OSError, h11.ProtocolError) as error:
            _LOG.debug("connection closed on an error: %s", error)


async def _serve_request(
    stream: Any, codec: h11.Connection, stand_in: PlatformStandIn
) -> bool:
    request = None
    body = bytearray()
    while True:
        event = codec.next_event()
        if event is h11.NEED_DATA:
            codec.receive_data(await stream.recv(65536))
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > _MAX_REQUEST_BYTES:
                raise _RequestTooLarge
        elif isinstance(event, h11.EndOfMessage) and request is not None:
            break
        else:
            return False
    answer = await stand_in.answer(
        request.method.decode(), request.target.decode(), bytes(body)
    )
    return await _send_answer(stream, codec, answer)


async def _send_answer(
    stream: Any, codec: h11.Connection, answer: PlatformAnswer
) -> bool:
    fault = answer.fault
    if fault == platform_pb2.SILENT:
        await stream.recv(1)
        return False
    if fault == platform_pb2.GARBAGE:
        await stream.sendall(b"\x00\xff not HTTP \r\n\r\n")
        return False
    body = b"\xff" * 8 if fault == platform_pb2.NONSENSE else answer.body
    headers = []
    if answer.status != 204:
        headers = [("content-length", str(len(body)))]
    data = codec.send(h11.Response(status_code=answer.status, headers=headers))
    data += codec.send(h11.Data(data=body)) or b""
    data += codec.send(h11.EndOfMessage()) or b""
    if fault == platform_pb2.CUT:
        await stream.sendall(data[: len(data) // 2])
        return False
    await stream.sendall(data)
    return codec.our_state is h11.DONE and codec.their_state is h11.DONE
