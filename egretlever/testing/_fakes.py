"""In-memory fakes of the platform's stores, with fault injection."""

from returns.result import Failure, Result, Success

from egretlever.core import Version
from egretlever.platform import Row, StoreError, StoreErrorKind

_UNAVAILABLE = StoreError(
    StoreErrorKind.UNAVAILABLE, "the store is unavailable"
)
_RESPONSE_LOST = StoreError(
    StoreErrorKind.UNKNOWN_EFFECT, "the response was lost"
)


class FakeTableStore:
    """Table service in memory.

    Attributes
    ----------
    unavailable : bool
        While true every operation fails without effect.
    lost_answers_left : int
        Number of following writes that take effect but report an unknown
        effect.
    writes, reads : int
        Number of writes that took effect, and of reads and scans.
    """

    def __init__(self) -> None:
        self.unavailable = False
        self.lost_answers_left = 0
        self.writes = 0
        self.reads = 0
        self._rows: dict[str, Row] = {}

    def _find(self, key: str) -> Row:
        return self._rows.get(key, Row(key, b"", Version(0)))

    async def read(self, key: str) -> Result[Row, StoreError]:
        """Read one row; a missing row has version 0."""
        if self.unavailable:
            return Failure(_UNAVAILABLE)
        self.reads += 1
        return Success(self._find(key))

    async def scan(
        self, prefix: str, limit: int = 100, after: str = ""
    ) -> Result[tuple[Row, ...], StoreError]:
        """Read rows whose key starts with a prefix, in key order."""
        if self.unavailable:
            return Failure(_UNAVAILABLE)
        self.reads += 1
        keys = sorted(
            key for key in self._rows if key.startswith(prefix) and key > after
        )
        return Success(tuple(self._rows[key] for key in keys[:limit]))

    async def write(
        self,
        rows: dict[str, bytes],
        conditions: dict[str, Version],
    ) -> Result[None, StoreError]:
        """Write all rows if every condition's row has the given version."""
        if self.unavailable:
            return Failure(_UNAVAILABLE)
        conflicts = tuple(
            self._find(key)
            for key, version in conditions.items()
            if self._find(key).version != version
        )
        if conflicts:
            return Failure(
                StoreError(
                    StoreErrorKind.CONDITION_FAILED,
                    "the version of a row differs from its condition",
                    conflicts,
                )
            )
        self.writes += 1
        for key, value in rows.items():
            version = Version(self._find(key).version + 1)
            self._rows[key] = Row(key, value, version)
            if not value:
                del self._rows[key]
        if self.lost_answers_left > 0:
            self.lost_answers_left -= 1
            return Failure(_RESPONSE_LOST)
        return Success(None)


class FakeObjectStore:
    """Object store in memory.

    Attributes
    ----------
    unavailable : bool
        While true every operation fails without effect.
    """

    def __init__(self) -> None:
        self.unavailable = False
        self._objects: dict[str, bytes] = {}

    async def get(self, name: str) -> Result[bytes, StoreError]:
        """Read an object; a missing one is ``CONDITION_FAILED``."""
        if self.unavailable:
            return Failure(_UNAVAILABLE)
        if name not in self._objects:
            return Failure(
                StoreError(
                    StoreErrorKind.CONDITION_FAILED,
                    f"object {name} does not exist",
                )
            )
        return Success(self._objects[name])

    async def put(self, name: str, body: bytes) -> Result[None, StoreError]:
        """Write an object."""
        if self.unavailable:
            return Failure(_UNAVAILABLE)
        self._objects[name] = body
        return Success(None)
