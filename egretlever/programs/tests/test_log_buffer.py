"""Guards the end of a program's log."""

import io

from absl import logging

from egretlever.programs._log_buffer import LogBuffer


def test_the_log_handler_can_close_the_buffer():
    # A program that ended left a traceback instead of its last lines.
    stream = io.StringIO()
    handler = logging.PythonHandler(LogBuffer(stream))
    handler.stream.write("the last line\n")
    handler.close()
    assert stream.getvalue() == "the last line\n"
