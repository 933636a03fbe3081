"""Guards the log buffer at program exit."""

import io

from absl import logging

from egretlever.programs._log_buffer import LogBuffer


def test_log_handler_can_close_the_buffer():
    # Guards against a traceback at exit in place of the last log lines.
    stream = io.StringIO()
    handler = logging.PythonHandler(LogBuffer(stream))
    handler.stream.write("the last line\n")
    handler.close()
    assert stream.getvalue() == "the last line\n"
