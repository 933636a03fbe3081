"""Guards against log output that blocks when its reader stops reading."""

import json
import os

from egretlever.programs._log_output import LogOutput

LINE = json.dumps({"event": "offered", "pad": "x" * 200}) + "\n"


def read_all(descriptor):
    os.set_blocking(descriptor, False)
    parts = []
    try:
        while part := os.read(descriptor, 1 << 20):
            parts.append(part)
    except BlockingIOError:
        pass
    return b"".join(parts)


def test_full_pipe_does_not_block_and_drops_are_counted():
    reader, writer = os.pipe()
    output = LogOutput(writer)
    for _ in range(20_000):
        output.write(LINE)
        output.drain()
    assert output.dropped > 0
    dropped = output.dropped
    received = b""
    for _ in range(1000):
        received += read_all(reader)
        output.drain()
    lines = [json.loads(line) for line in received.splitlines()]
    counts = [line["count"] for line in lines if "count" in line]
    assert counts == [dropped]
    assert len(lines) - 1 + dropped == 20_000
    os.close(reader)
    os.close(writer)


def test_closed_pipe_raises_no_error():
    reader, writer = os.pipe()
    os.close(reader)
    output = LogOutput(writer)
    output.write(LINE)
    output.drain()
    os.close(writer)
