"""Log lines with a fixed prefix for each part."""

from absl import logging


class Log:
    """Writes log lines behind a fixed prefix.

    Parameters
    ----------
    prefix : str
        Name of the part, written before each line.
    """

    __slots__ = ("_prefix",)

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix + ": "

    def debug(self, message: str, *values: object) -> None:
        """Write a line at debug level, formatted with %-style values."""
        if logging.vlog_is_on(1):
            logging.debug(self._prefix + message, *values)

    def info(self, message: str, *values: object) -> None:
        """Write a line at info level, formatted with %-style values."""
        logging.info(self._prefix + message, *values)

    def warning(self, message: str, *values: object) -> None:
        """Write a line at warning level, formatted with %-style values."""
        logging.warning(self._prefix + message, *values)

    def error(self, message: str, *values: object) -> None:
        """Write a line at error level, formatted with %-style values."""
        logging.error(self._prefix + message, *values)


def make_log(prefix: str) -> Log:
    """Make the log of one part.

    Parameters
    ----------
    prefix : str
        Name of the part, a single lower-case word.

    Returns
    -------
    Log
        A log whose lines all start with the prefix.
    """
    return Log(prefix)
