"""Check of a configuration as a whole."""

from collections.abc import Iterator

from egretlever.configuration_check._differences import list_differences
from egretlever.configuration_check._limits import list_contradictions
from egretlever.configuration_check._matching import list_unmatched
from egretlever.configuration_check._reports import (
    Report,
    ReportLine,
    SecretFilter,
)
from egretlever.configuration_check._sources import CheckedFile
from egretlever.platform import Bounds


def check_configuration(
    name: str,
    body: bytes,
    in_force: tuple[str, bytes] | None = None,
    bounds: Bounds | None = None,
) -> Report:
    """Check a configuration in the operator's format.

    Parameters
    ----------
    name : str
        Name of the file, for the report.
    body : bytes
        Its content.
    in_force : tuple of str and bytes, optional
        Name and content of the version in force.
    bounds : Bounds, optional
        Limits that the platform sets.

    Returns
    -------
    Report
        Errors, warnings and differences. It shows no keys.
    """
    new = CheckedFile(name, body)
    old = None if in_force is None else CheckedFile(*in_force)
    secrets = new.list_secrets()
    if old is not None:
        secrets |= old.list_secrets()
    secret_filter = SecretFilter(secrets)
    lines = _list_lines(new, old, bounds)
    return Report(tuple(secret_filter.apply(line) for line in lines))


def _list_lines(
    new: CheckedFile, old: CheckedFile | None, bounds: Bounds | None
) -> Iterator[ReportLine]:
    yield from new.list_errors()
    if old is not None:
        yield from old.list_errors()
    if new.configuration is None:
        return
    yield from list_unmatched(new, new.configuration)
    yield from list_contradictions(new, new.configuration, bounds)
    if old is not None and old.configuration is not None:
        yield from list_differences(
            new, new.configuration, old, old.configuration
        )
