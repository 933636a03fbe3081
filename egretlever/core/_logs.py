"""Log lines with a fixed prefix, and structured lines, of one component."""

from absl import logging
from google.protobuf import message


class Log:
    """Writes log lines with a fixed prefix.

    Parameters
    ----------
    prefix : str
        Name of the component, written before each line.
    """

    __slots__ = ("_prefix",)

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix + ": "

    def event(self, line: message.Message) -> None:
        """Write a structured line at info level.

        Parameters
        ----------
        line : Message
            Message of ``logs.proto``; empty fields are omitted.
        """
        # The fields are plain numbers and strings, so that json_format, which
        # takes 20 ms to import, is not needed.
        fields = {field.name: value for field, value in line.ListFields()}
        logging.info({"part": self._prefix[:-2], **fields})

    def debug(self, text: str, *values: object) -> None:
        """Write a line at debug level, formatted with %-style values."""
        if logging.vlog_is_on(1):
            logging.debug(self._prefix + text, *values)

    def info(self, text: str, *values: object) -> None:
        """Write a line at info level, formatted with %-style values."""
        logging.info(self._prefix + text, *values)

    def warning(self, text: str, *values: object) -> None:
        """Write a line at warning level, formatted with %-style values."""
        logging.warning(self._prefix + text, *values)

    def error(self, text: str, *values: object) -> None:
        """Write a line at error level, formatted with %-style values."""
        logging.error(self._prefix + text, *values)


def make_log(prefix: str) -> Log:
    """Make the log of one component.

    Parameters
    ----------
    prefix : str
        Name of the component, a single lower-case word.

    Returns
    -------
    Log
        A log whose lines all start with the prefix.
    """
    return Log(prefix)
