"""Keeps one lease in an object of the platform.

Each write carries an id of its own. After a lost answer the object is read
back, and the id tells whether the write took effect.
"""

import dataclasses
import itertools
from typing import Final

import attrs

from figstream import errors
from figstream import platform_api
from figstream import serialization

PREFIX: Final = "leases/"
# Reads before the fate of a write is left open.
_READ_ATTEMPTS: Final = 3


@attrs.frozen
class LeaseRecord:
    """A lease as stored.

    Attributes:
      holder: name of the VM that holds it, "" if it was given up.
      start_number: start number of the holder.
      fencing: rises with each new holder.
      duration_s: seconds for which a write holds, from before it was sent.
      write_id: unique id of the write.
      state: what the holder records with the lease, encoded by its owner.
    """

    holder: str
    start_number: int
    fencing: int
    duration_s: float
    write_id: str
    state: str = ""


@attrs.frozen
class StoredLease:
    """A record and the version of the object that holds it."""

    record: LeaseRecord
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Kept:
    """The write is stored."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Replaced:
    """The object holds another write; None if it is gone or unreadable."""

    found: StoredLease | None


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """The write may have taken effect, or may yet."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotWritten:
    """The write did not take effect and never will."""

    detail: str


PutOutcome = Kept | Replaced | Undecided | NotWritten


class LeaseStore:
    """Reads and writes one lease."""

    def __init__(
        self, objects: platform_api.ObjectStore, name: str, writer: str
    ) -> None:
        """Uses the object API; the writer's name makes write ids unique."""
        self._objects = objects
        self._object_name = PREFIX + name
        self._writer = writer
        self._sequence = itertools.count(1)

    def next_write_id(self) -> str:
        """Returns a new write id."""
        return f"{self._writer}-{next(self._sequence)}"

    async def read(
        self, *, stale: bool = False
    ) -> StoredLease | platform_api.Absent | platform_api.Unavailable:
        """Reads the lease; `stale` as in `ObjectStore.read`."""
        found = await self._objects.read(self._object_name, stale=stale)
        if not isinstance(found, platform_api.Found):
            return found
        try:
            record = serialization.from_json(found.body, LeaseRecord)
        except errors.ConfigurationError as error:
            return platform_api.Unavailable(str(error))
        return StoredLease(record, found.version)

    async def put(
        self, record: LeaseRecord, expected_version: int
    ) -> PutOutcome:
        """Writes the lease if it has the version; reads back when unsure."""
        outcome = await self._objects.write(
            self._object_name,
            serialization.to_json(record),
            expected_version,
        )
        match outcome:
            case platform_api.Written():
                return Kept(outcome.version)
            case platform_api.Unavailable():
                return NotWritten(outcome.detail)
            case platform_api.Conflict():
                return await self._read_back(record, None)
            case platform_api.Unknown():
                return await self._read_back(record, expected_version)

    async def _read_back(
        self, record: LeaseRecord, unchanged_version: int | None
    ) -> PutOutcome:
        detail = "the write may be under way"
        for _ in range(_READ_ATTEMPTS):
            found = await self.read()
            if isinstance(found, platform_api.Unavailable):
                detail = found.detail
                continue
            if isinstance(found, platform_api.Absent):
                if unchanged_version == platform_api.ABSENT_VERSION:
                    return Undecided(detail)
                return Replaced(None)
            if found.record.write_id == record.write_id:
                return Kept(found.version)
            if found.version == unchanged_version:
                return Undecided(detail)
            return Replaced(found)
        return Undecided(detail)
