"""Versions of the platform's store, with the era that assigned them.

When the store is restored from an older copy, its version numbers go back and
are assigned again, and its era increases by one. A version is therefore a pair
of era and number. Both are held in one integer that orders as the pair does and
equals the number in era 0, which stands for a store that names no era.
"""

from egretlever.core._ids import StoreEra, Version

NO_ERA = StoreEra(0)
_NUMBER_BITS = 63  # the store's numbers are signed and have 64 bits
_NUMBER_MASK = (1 << _NUMBER_BITS) - 1


def join_version(era: StoreEra, number: int) -> Version:
    """Make a version of an era and a number.

    Examples
    --------
    >>> join_version(StoreEra(0), 7)
    7
    >>> join_version(StoreEra(2), 3) > join_version(StoreEra(1), 900)
    True
    """
    return Version(era << _NUMBER_BITS | number & _NUMBER_MASK)


def find_era(version: Version) -> StoreEra:
    """Return the era of a version."""
    return StoreEra(version >> _NUMBER_BITS)


def find_number(version: Version) -> int:
    """Return the number of a version, as the store names it."""
    return version & _NUMBER_MASK


def describe_version(version: Version) -> str:
    """Describe a version in a log line.

    Examples
    --------
    >>> describe_version(join_version(StoreEra(2), 57))
    '2:57'
    >>> describe_version(Version(57))
    '57'
    """
    era = find_era(version)
    number = str(find_number(version))
    return f"{era}:{number}" if era else number
